package overload_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bulrushshed/keys"
	"bulrushshed/loop"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

const (
	// serveMaxMemory is the sum of what the program needs without large requests, about
	// 30 MB, the default of the memory for requests, 64 MB, and a margin of 64 MB for the
	// garbage collector.
	serveMaxMemory = 160 * bytesPerMB
	// operatorMaxBody is the largest body that the operators' address accepts now. The
	// API takes no bodies.
	operatorMaxBody = 4 << 20
)

// announceInterval is the interval at which the service is announced to the platform.
const announceInterval = 500 * time.Millisecond

const serveRules = "class path=/stock/* service=stock idempotent=yes deadline=2s # test: stock checks may be repeated\n"

// serveSystem is a host with the native dialect, with its addresses for callers and for
// operators.
type serveSystem struct {
	system
	caller   front
	operator front
}

// newServe starts a host with the native dialect. Its platform and its service are
// stand-ins in this process.
func newServe(t *testing.T, descriptorLimit int) serveSystem {
	t.Helper()
	requireEnabled(t)
	subnet := newSubnet()
	platformURL := startNativeStandIns(t, subnet)
	s := settings.Default()
	s.Name, s.FailureDomain = "entry-1", "a"
	ip := subnet + ".1"
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = ip+":8080", ip+":8081", ip+":8082"
	s.PlatformURL = platformURL
	s.TLS = writeKeys(t, s.Name, ip)
	s.Log.Level = "warn"
	caller := ordinary{url: "http://" + s.CallerAddress + "/stock/pallets", header: http.Header{"Customer": {"puebla"}}}
	operator := ordinary{url: "http://" + s.OperatorAddress + "/v1/status"}
	return serveSystem{
		system: system{process: startProcess(t, descriptorLimit, "serve", s), maxMemory: serveMaxMemory, callers: caller, operators: operator},
		caller: front{
			address: s.CallerAddress, head: "POST /stock/pallets HTTP/1.1\r\nHost: x\r\nCustomer: puebla\r\n", maxBody: s.Limits.BodyBytes,
		},
		operator: front{address: s.OperatorAddress, head: "POST /v1/status HTTP/1.1\r\nHost: x\r\n", maxBody: operatorMaxBody},
	}
}

// startNativeStandIns starts a platform with rules and a replica of the service that they
// name, and returns the platform's URL.
func startNativeStandIns(t *testing.T, subnet string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	platformAddress, serviceAddress := subnet+".2:9000", subnet+".3:9200"
	url := "http://" + platformAddress
	service, err := standin.NewService(standin.ServiceOptions{
		Name: "service-1", Address: serviceAddress, FailureDomain: "a", Incarnation: 1, Serves: []string{"stock"},
	})
	if err != nil {
		t.Fatal(err)
	}
	client := platformhttp.NewClient(url, requestTimeout)
	platform := standin.NewPlatform(standin.PlatformOptions{AppendRate: 1000, Retention: time.Hour, HostTTL: 5 * time.Second})
	done := make(chan error, 2)
	announced := loop.Every(ctx, announceInterval, func(context.Context) {
		// The next round repeats an announcement that fails.
		_ = client.Announce(service.Host())
	})
	go func() { done <- standin.Listen(ctx, platform.App(), platformAddress) }()
	go func() { done <- standin.Listen(ctx, service.App(), serviceAddress) }()
	t.Cleanup(func() {
		cancel()
		<-announced
		for range cap(done) {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	publish(t, client)
	return url
}

// publish publishes the rules once the platform answers.
func publish(t *testing.T, client *platformhttp.Client) {
	t.Helper()
	p := rule.Publication{ID: publication.NewID(), Author: "test", Text: serveRules}
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(ordinaryInterval) {
		if _, err = publication.Publish(client, p, ordinaryInterval, 20); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// writeKeys writes the certificates and the key of a host and returns their paths.
func writeKeys(t *testing.T, name, ip string) settings.TLS {
	t.Helper()
	ca, err := keys.NewCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := keys.New(ca, keys.RoleHost, name, []net.IP{net.ParseIP(ip)}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	paths := settings.TLS{CAFile: filepath.Join(dir, "ca.crt"), CertFile: filepath.Join(dir, "host.crt"), KeyFile: filepath.Join(dir, "host.key")}
	for path, text := range map[string][]byte{paths.CAFile: ca.Cert, paths.CertFile: pair.Cert, paths.KeyFile: pair.Key} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// Guards against memory for the bodies of all connections at once: chunked bodies that
// stop just short of their end.
func TestServeHoldsStalledBodiesInLargeChunks(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.caller.address, s.caller.stalledBodies(300, s.caller.maxBody-chunkBytes, chunkBytes))
}

// Guards against a cost of small chunks that is not counted.
func TestServeHoldsStalledBodiesInChunksOfOneByte(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.caller.address, s.caller.stalledBodies(300, oneByteChunks, 1))
}

// Guards against memory for announced bodies over the limit.
func TestServeHoldsAnnouncedBodiesOverTheLimit(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.caller.address,
		s.caller.announcedBodies(50, 8*s.caller.maxBody, 8*s.caller.maxBody),
		s.caller.announcedBodies(50, 1024*s.caller.maxBody, 8*s.caller.maxBody))
}

// Guards against memory for bodies over the limit that are not announced.
func TestServeHoldsChunkedBodiesOverTheLimit(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.caller.address, s.caller.stalledBodies(300, 4*s.caller.maxBody, chunkBytes))
}

// Guards against unbounded headers.
func TestServeHoldsHeadersWithoutEnd(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.caller.address, s.caller.slowHeaders(150), s.caller.endlessHeaders(150))
}

// Guards against a process that ends for want of descriptors.
func TestServeHoldsMoreSilentConnectionsThanDescriptors(t *testing.T) {
	s := newServe(t, fewDescriptors)
	s.testAttack(t, s.caller.address, silentConnections(silentClients))
}

// Guards against memory for bodies at the operators' address.
func TestServeOperatorHoldsStalledBodiesInLargeChunks(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.operator.address, s.operator.stalledBodies(100, s.operator.maxBody-chunkBytes, chunkBytes))
}

// Guards against a cost of small chunks at the operators' address.
func TestServeOperatorHoldsStalledBodiesInChunksOfOneByte(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.operator.address, s.operator.stalledBodies(300, oneByteChunks, 1))
}

// Guards against memory for announced bodies at the operators' address.
func TestServeOperatorHoldsAnnouncedBodies(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.operator.address,
		s.operator.announcedBodies(60, s.operator.maxBody, s.operator.maxBody-1),
		s.operator.announcedBodies(20, 16*s.operator.maxBody, 2*s.operator.maxBody),
		s.operator.announcedBodies(20, 256*s.operator.maxBody, 2*s.operator.maxBody))
}

// Guards against memory for large bodies at the operators' address that are not announced.
func TestServeOperatorHoldsChunkedBodiesOverTheLimit(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.operator.address, s.operator.stalledBodies(56, 4*s.operator.maxBody, chunkBytes))
}

// Guards against unbounded headers at the operators' address.
func TestServeOperatorHoldsHeadersWithoutEnd(t *testing.T) {
	s := newServe(t, manyDescriptors)
	s.testAttack(t, s.operator.address, s.operator.slowHeaders(150), s.operator.endlessHeaders(150))
}

// Guards against a process that ends for want of descriptors at the operators' address.
func TestServeOperatorHoldsMoreSilentConnectionsThanDescriptors(t *testing.T) {
	s := newServe(t, fewDescriptors)
	s.testAttack(t, s.operator.address, silentConnections(silentClients))
}
