package node

// Parts of the process's memory, which together leave room for the heap's growth and the kernel's
// buffers.
const (
	// bodyShare is for the bodies of requests, those that other daemons forward included.
	bodyShare = 0.55
	// answerShare is for answers that aren't passed on yet.
	answerShare = 0.1
	// minMemoryPart is the least of each, in bytes.
	minMemoryPart = 8 << 20
)

// memoryPart returns a part of the process's memory in bytes.
func memoryPart(s *Settings, share float64) int64 {
	return max(int64(share*float64(s.Limits.MemoryMB)*(1<<20)), minMemoryPart)
}
