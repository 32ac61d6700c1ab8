package exchange

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// minCompressedItems is the least number of items that are compressed. Items resemble each
// other, so that many of them compress to an eighth of their size.
const minCompressedItems = 16

// encodeList encodes a list, compressed if the receiver accepts that and there are enough
// items.
func encodeList(u *feed.Update, compress bool) *exchangepb.Feed {
	out := encodeUpdate(u)
	if !compress || len(out.Items) < minCompressedItems {
		return out
	}
	text, err := proto.Marshal(&exchangepb.Feed{Items: out.Items})
	if err != nil {
		return out
	}
	if text, err = spread.Pack(text); err == nil {
		out.Items, out.Packed = nil, text
	}
	return out
}

// decodeList decodes a list. If it can't be decompressed, the result is an empty update at
// the zero position, so that the whole list is requested again.
func decodeList(f *exchangepb.Feed) feed.Update {
	if len(f.GetPacked()) == 0 {
		return decodeUpdate(f)
	}
	var items exchangepb.Feed
	text, err := spread.Apply(nil, f.Packed)
	if err == nil {
		err = proto.Unmarshal(text, &items)
	}
	if err != nil {
		return feed.Update{}
	}
	f.Items = items.Items
	return decodeUpdate(f)
}
