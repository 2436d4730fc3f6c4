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

func report(err error) subcommands.ExitStatus {
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
	return "run the log, the list of hosts and the weight store"
}

func (*platformCommand) Usage() string {
	return "standin platform -address 127.0.0.1:9000\n"
}

func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "address", "127.0.0.1:9000", "address to listen at")
	f.IntVar(&p.opts.AppendRate, "append-rate", 300, "appends a second")
	f.DurationVar(&p.opts.Retention, "retain", 10*time.Minute, "how long records are kept")
	f.DurationVar(&p.opts.HostListDelay, "host-lag", time.Second, "how late changes show on the list of hosts")
	f.DurationVar(&p.opts.HostTTL, "host-ttl", 3*time.Second, "how long an unannounced host stays on the list")
	f.DurationVar(&p.opts.LayerTime, "layer-time", 5*time.Millisecond, "time of the weight store for one layer")
}

func (p *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return report(standin.Listen(ctx, standin.NewPlatform(p.opts).App(), p.address))
}

type engineCommand struct {
	opts     standin.EngineOptions
	layers   string
	platform string
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a model engine that holds a range of layers" }
func (*engineCommand) Usage() string {
	return "standin engine -name e1 -address 127.0.2.1:9100 -layers 0-40\n"
}

func (e *engineCommand) SetFlags(f *flag.FlagSet) {
	h := &e.opts.Holding
	f.StringVar(&h.Endpoint, "name", "", "name of the host")
	f.StringVar(&h.Address, "address", "127.0.2.1:9100", "address to listen at")
	f.StringVar(&h.FailureDomain, "domain", "a", "failure domain")
	f.StringVar(&h.Model, "model", "assistant", "model")
	f.StringVar(&h.Version, "version", "v1", "version of the model")
	f.StringVar(&e.layers, "layers", "0-80", "layers held, the last not included")
	f.DurationVar(&h.LayerTime, "layer-time", 100*time.Microsecond, "time of one layer for one token")
	f.IntVar(&h.Slots, "slots", 64, "sequences in a batch")
	f.IntVar(&e.opts.MaxLayers, "max-layers", 0, "layers that it can hold; by default those of -layers")
	f.StringVar(&e.opts.Kind, "kind", "mid", "kind of accelerator")
	f.IntVar(&e.opts.CacheBlocks, "cache-blocks", 1024, "blocks of the prefix cache")
	f.DurationVar(&e.opts.EventDelay, "event-lag", time.Second, "how late cache events are")
	f.IntVar(&e.opts.EventLossInterval, "event-gap", 10, "of so many cache events one is lost")
	f.DurationVar(&e.opts.ReportInterval, "report-lag", 500*time.Millisecond, "age of the reported load")
	f.Float64Var(&e.opts.Slowdown, "slowdown", 0.02, "share by which each further sequence slows a batch")
	f.BoolVar(&e.opts.Fences, "fences", true, "refuse orders with an old fencing number")
	f.DurationVar(&e.opts.StageTimeout, "stage-timeout", 400*time.Millisecond, "bound of a call to the next stage")
	f.StringVar(&e.platform, "platform", "http://127.0.0.1:9000", "base URL of the platform")
}

func (e *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	h := &e.opts.Holding
	if _, err := fmt.Sscanf(e.layers, "%d-%d", &h.Layers.From, &h.Layers.To); err != nil || h.Layers.Len() < 0 {
		return report(fmt.Errorf("-layers: got %q, want such as 0-40", e.layers))
	}
	if e.opts.MaxLayers == 0 {
		e.opts.MaxLayers = h.Layers.Len()
	}
	h.Incarnation = time.Now().UnixMicro()
	e.opts.WeightStoreURL = e.platform
	return report(standin.ServeNode(ctx, standin.NewEngine(e.opts), h.Address, e.platform))
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
	f.StringVar(&s.opts.Address, "address", "127.0.3.1:9200", "address to listen at")
	f.StringVar(&s.opts.FailureDomain, "domain", "a", "failure domain")
	f.StringVar(&s.serves, "serves", "dispatch,stock", "services, by comma")
	f.DurationVar(&s.opts.WorkTime, "work-time", 5*time.Millisecond, "time of one call")
	f.StringVar(&s.opts.History, "history", "", "file that keeps what was run over restarts")
	f.BoolVar(&s.opts.HonorsKeys, "honors-keys", false, "run a repeated key once")
	f.StringVar(&s.platform, "platform", "http://127.0.0.1:9000", "base URL of the platform")
}

func (s *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s.opts.Serves = strings.Split(s.serves, ",")
	s.opts.Incarnation = time.Now().UnixMicro()
	node, err := standin.NewService(s.opts)
	if err != nil {
		return report(err)
	}
	return report(standin.ServeNode(ctx, node, s.opts.Address, s.platform))
}
