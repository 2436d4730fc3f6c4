package overload_test

import (
	"net/http"
	"testing"

	"bulrushshed/settings"
)

const (
	// hostMemoryMB is the memory limit in the settings of a host. The program needs some
	// 15 MB at rest.
	hostMemoryMB = 128
	// smallHostMemoryMB is the limit in the test with plain answers. They are limited to
	// 256 KiB each, so a larger host would need more clients to exceed its limit.
	smallHostMemoryMB = 72
)

// newHost starts a host on the users' platform, whose stand-ins are in this process.
func newHost(t *testing.T, memoryMB, descriptorLimit int) (system, front) {
	t.Helper()
	requireEnabled(t)
	s := startPlatform(t)
	cfg := settings.DefaultHost()
	cfg.Name, cfg.FailureDomain = "entry-0", "a"
	ip := newSubnet() + ".1"
	cfg.CallerAddress, cfg.ReadyAddress = ip+":8080", ip+":8081"
	cfg.DirectoryAddress, cfg.MetricsAddress = ip+":8082", ip+":8083"
	cfg.PeerAddress, cfg.StoreAddress = ip+":8084", s.address
	cfg.MemoryMB = memoryMB
	cfg.Log.Level = "warn"
	sys := system{
		process: startProcess(t, descriptorLimit, "host", cfg), maxMemory: int64(memoryMB) * bytesPerMB,
		callers: ordinary{
			url: "http://" + cfg.CallerAddress + "/stock/1", host: "h.example",
			header: http.Header{"Authorization": {"Bearer " + apiKey}},
		},
	}
	return sys, front{address: cfg.CallerAddress, head: hostHead("POST", "/stock/1"), maxBody: bodyLimit}
}

// hostHead returns the request line and the header fields of a request to a host, without
// the blank line at the end.
func hostHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + apiKey + "\r\n"
}

// Guards against memory for the bodies of all connections at once: chunked bodies that
// stop just short of their end.
func TestHostHoldsStalledBodiesInLargeChunks(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, f.stalledBodies(100, f.maxBody-chunkBytes, chunkBytes))
}

// Guards against a cost of small chunks that is not counted.
func TestHostHoldsStalledBodiesInChunksOfOneByte(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, f.stalledBodies(300, oneByteChunks, 1))
}

// Guards against memory for announced bodies over the published limit. Some of them are
// within the limit that applies without a published one.
func TestHostHoldsAnnouncedBodiesOverTheLimit(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address,
		f.announcedBodies(30, 2*f.maxBody-1, 2*f.maxBody-1),
		f.announcedBodies(15, 16*f.maxBody, 2*f.maxBody),
		f.announcedBodies(15, 256*f.maxBody, 2*f.maxBody))
}

// Guards against memory for bodies over the published limit that are not announced.
func TestHostHoldsChunkedBodiesOverTheLimit(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, f.stalledBodies(36, 3*f.maxBody, chunkBytes))
}

// Guards against unbounded headers.
func TestHostHoldsHeadersWithoutEnd(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, f.slowHeaders(150), f.endlessHeaders(150))
}

// Guards against a process that ends for want of descriptors (review case 3).
func TestHostHoldsMoreSilentConnectionsThanDescriptors(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, fewDescriptors)
	s.testAttack(t, f.address, silentConnections(silentClients))
}

// Guards against memory for the events of streams that their callers never read.
func TestHostHoldsStreamsThatAreNeverRead(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	stream := s.callers
	stream.url = "http://" + f.address + "/draft/1"
	if !stream.awaitAnswer(t, s.process) {
		t.Fatalf("got no answer to a stream before the attack; end of the log:\n%s", s.process.logTail())
	}
	s.testAttack(t, f.address, nonReaders(200, hostHead("GET", "/draft/1")+"\r\n"))
}

// Guards against memory for large plain answers that their callers never read.
func TestHostHoldsPlainAnswersThatAreNeverRead(t *testing.T) {
	s, f := newHost(t, smallHostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, nonReaders(300, hostHead("GET", "/stock/large")+"\r\n"))
}

// Guards against memory for answers of faulty replicas that have no end, in their heads or
// their bodies.
func TestHostHoldsAnswersWithoutEnd(t *testing.T) {
	s, f := newHost(t, smallHostMemoryMB, manyDescriptors)
	var sets []clientSet
	for name := range endlessAnswers {
		sets = append(sets, requesters(60, hostHead("GET", "/stock/endless/"+name)+"\r\n"))
	}
	s.testAttack(t, f.address, sets...)
}

// Guards against body buffers that are kept with idle connections (review case 2).
func TestHostHoldsIdleConnectionsAfterLargeBodies(t *testing.T) {
	s, f := newHost(t, hostMemoryMB, manyDescriptors)
	s.testAttack(t, f.address, f.completeBodies(100, 4))
}
