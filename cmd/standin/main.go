package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"bulrushshed/standin"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

func exitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

type platformCommand struct {
	address string
	opts    standin.PlatformOptions
}

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run the log, the list of hosts and the weight store of the platform"
}

func (*platformCommand) Usage() string {
	return "standin platform -address 127.0.0.1:9000\n"
}

func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "address", "127.0.0.1:9000", "address to listen on")
	f.IntVar(&p.opts.AppendRate, "append-rate", 300, "maximum number of appends per second")
	f.DurationVar(&p.opts.Retention, "retain", 10*time.Minute, "retention period of records")
	f.DurationVar(&p.opts.HostListDelay, "host-lag", time.Second, "delay until a change appears in the list of hosts")
	f.DurationVar(&p.opts.HostTTL, "host-ttl", 3*time.Second, "time until a host that is not announced again is removed from the list")
	f.DurationVar(&p.opts.LayerTime, "layer-time", 5*time.Millisecond, "time to load the weights of one layer")
}

func (p *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(standin.Listen(ctx, standin.NewPlatform(p.opts).App(), p.address))
}

type engineCommand struct {
	opts     standin.EngineOptions
	layers   string
	platform string
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a model engine that serves a range of layers" }
func (*engineCommand) Usage() string {
	return "standin engine -name e1 -address 127.0.2.1:9100 -layers 0-40\n"
}

func (e *engineCommand) SetFlags(f *flag.FlagSet) {
	h := &e.opts.Holding
	f.StringVar(&h.Endpoint, "name", "", "name of the host")
	f.StringVar(&h.Address, "address", "127.0.2.1:9100", "address to listen on")
	f.StringVar(&h.FailureDomain, "domain", "a", "failure domain")
	f.StringVar(&h.Model, "model", "assistant", "model")
	f.StringVar(&h.Version, "version", "v1", "model version")
	f.StringVar(&e.layers, "layers", "0-80", "range of layers, from the first up to but not including the last")
	f.DurationVar(&h.LayerTime, "layer-time", 100*time.Microsecond, "time to run one layer for one token")
	f.IntVar(&h.Slots, "slots", 64, "number of sequences in a batch")
	f.IntVar(&e.opts.MaxLayers, "max-layers", 0, "number of layers that fit on the engine; 0 means as many as in -layers")
	f.StringVar(&e.opts.Kind, "kind", "mid", "type of accelerator")
	f.IntVar(&e.opts.CacheBlocks, "cache-blocks", 1024, "size of the prefix cache in blocks")
	f.DurationVar(&e.opts.EventDelay, "event-lag", time.Second, "delay of cache events")
	f.IntVar(&e.opts.EventLossInterval, "event-gap", 10, "one in this number of cache events is lost")
	f.DurationVar(&e.opts.ReportInterval, "report-lag", 500*time.Millisecond, "age of the reported load")
	f.Float64Var(&e.opts.Slowdown, "slowdown", 0.02, "relative slowdown of a batch for each additional sequence")
	f.BoolVar(&e.opts.Fences, "fences", true, "reject orders with an old fencing token")
	f.DurationVar(&e.opts.StageTimeout, "stage-timeout", 400*time.Millisecond, "time-out of a call to the next stage")
	f.StringVar(&e.platform, "platform", "http://127.0.0.1:9000", "base URL of the platform")
}

func (e *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	h := &e.opts.Holding
	if _, err := fmt.Sscanf(e.layers, "%d-%d", &h.Layers.From, &h.Layers.To); err != nil || h.Layers.Len() < 0 {
		return exitStatus(fmt.Errorf("-layers: got %q, want a range such as 0-40", e.layers))
	}
	if e.opts.MaxLayers == 0 {
		e.opts.MaxLayers = h.Layers.Len()
	}
	h.Incarnation = time.Now().UnixMicro()
	e.opts.WeightStoreURL = e.platform
	return exitStatus(standin.ServeNode(ctx, standin.NewEngine(e.opts), h.Address, e.platform))
}

type serviceCommand struct {
	opts     standin.ServiceOptions
	serves   string
	platform string
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a replica of plain services" }
func (*serviceCommand) Usage() string {
	return "standin service -name s1 -address 127.0.3.1:9200 -serves dispatch,stock\n"
}

func (s *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.opts.Name, "name", "", "name of the host")
	f.StringVar(&s.opts.Address, "address", "127.0.3.1:9200", "address to listen on")
	f.StringVar(&s.opts.FailureDomain, "domain", "a", "failure domain")
	f.StringVar(&s.serves, "serves", "dispatch,stock", "services, comma-separated")
	f.DurationVar(&s.opts.WorkTime, "work-time", 5*time.Millisecond, "time to run one call")
	f.StringVar(&s.opts.History, "history", "", "file that preserves the list of executions across restarts")
	f.BoolVar(&s.opts.HonorsKeys, "honors-keys", false, "run calls with the same key only once")
	f.StringVar(&s.platform, "platform", "http://127.0.0.1:9000", "base URL of the platform")
}

func (s *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s.opts.Serves = strings.Split(s.serves, ",")
	s.opts.Incarnation = time.Now().UnixMicro()
	node, err := standin.NewService(s.opts)
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(standin.ServeNode(ctx, node, s.opts.Address, s.platform))
}
