package exchange

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/spread"
)

// minCompressedItems is the least number of items that are worth packing: entries are much
// alike, and many take an eighth of their bytes.
const minCompressedItems = 16

// encodeList encodes a list, packed where that is worth it and understood.
func encodeList(u *feed.Update, packed bool) *exchangepb.Feed {
	out := encodeUpdate(u)
	if !packed || len(out.Items) < minCompressedItems {
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

// decodeList decodes a list. One that can't be unpacked is none: it is asked for again.
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
