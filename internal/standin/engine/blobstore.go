package engine

import "github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"

// maxBlobs bounds the imported blobs that wait for their completion: several
// times the slots of an engine.
const maxBlobs = 64

// blobStore holds imported KV blobs until they are taken; the oldest goes
// first when it is full. The caller guards it.
type blobStore struct {
	byID  map[string]engineapi.KVBlob
	order []string
}

func newBlobStore() *blobStore {
	return &blobStore{byID: make(map[string]engineapi.KVBlob)}
}

func (b *blobStore) put(blob engineapi.KVBlob) {
	if _, ok := b.byID[blob.ID]; !ok {
		b.order = append(b.order, blob.ID)
	}
	b.byID[blob.ID] = blob
	for len(b.order) > maxBlobs {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
	}
}

// get returns a blob and keeps it, for a completion that is sent again.
func (b *blobStore) get(id string) (engineapi.KVBlob, bool) {
	blob, ok := b.byID[id]
	return blob, ok
}
