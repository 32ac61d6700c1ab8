package node

// Parts of the process's memory, which together leave room for the heap's growth and the kernel's
// buffers.
const (
	// bodyShare is for the bodies of requests, those that other daemons forward included.
	bodyShare = 0.35
	// answerShare is for answers that aren't passed on yet.
	answerShare = 0.1
	// headShare is for the heads of requests beyond usual ones.
	headShare = 0.05
	// connectionsShare is for the connections of clients, at connectionBytes each.
	connectionsShare = 0.2
	// minMemoryPart is the least of bodies and of answers, in bytes.
	minMemoryPart = 8 << 20
	// assumedMemoryMB is the memory of a process whose settings state none.
	assumedMemoryMB = 256
)

// memoryPart returns a part of the process's memory in bytes.
func memoryPart(s *Settings, share float64) int64 {
	return max(partOf(s, share), minMemoryPart)
}

// partOf returns a part of the process's memory in bytes, however small.
func partOf(s *Settings, share float64) int64 {
	mb := s.Limits.MemoryMB
	if mb == 0 {
		mb = assumedMemoryMB
	}
	return int64(share * float64(mb) * (1 << 20))
}
