package exchange

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
)

// Guards against sending a list of thousands of endpoints uncompressed to each daemon of a
// fleet that starts.
func TestLongListsAreCompressed(t *testing.T) {
	u := feed.Update{To: feed.Position{Epoch: 1, Seq: 3000}, Full: true, Removed: []string{"gone"}}
	for i := range 3000 {
		u.Items = append(u.Items, feed.Item{
			Name: fmt.Sprintf("i-%010x", i*7919), Revision: uint64(i),
			Spec: fmt.Appendf(nil, `{"service":"cyclamen","address":"10.1.%d.%d:8361","zone":"palmira","version":1,"slots":16,"state":"ready"}`, i/256, i%256),
		})
	}
	plain, packed := encodeList(&u, false), encodeList(&u, true)
	assert.Assert(t, proto.Size(packed)*4 < proto.Size(plain), "%d and %d bytes", proto.Size(packed), proto.Size(plain))
	assert.DeepEqual(t, decodeList(packed), u)
	assert.DeepEqual(t, decodeList(plain), u)
	packed.Packed = packed.Packed[:100]
	assert.DeepEqual(t, decodeList(packed), feed.Update{})
}
