package control_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/control"
	"bulrushshed/engine"
	"bulrushshed/route"
	"bulrushshed/rule"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// Use a fixed default seed, so that runs are reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const layers = 20

func model(version string) rule.Model {
	return rule.Model{Name: "m", Version: version, Layers: layers}
}

// drawEngines draws engines that hold no layers.
func drawEngines(t *rapid.T) []control.Engine {
	var all []control.Engine
	for i := range rapid.IntRange(2, 8).Draw(t, "engines") {
		all = append(all, control.Engine{
			Holding: route.Holding{
				Endpoint: fmt.Sprintf("e%d", i), Slots: 8,
				LayerTime: time.Duration(rapid.IntRange(1, 4).Draw(t, "time")) * 100 * time.Microsecond,
			},
			Role:      engine.RoleServe,
			MaxLayers: rapid.SampledFrom([]int{5, 8, 10, 14, 20}).Draw(t, "layers"),
		})
	}
	return all
}

// applyMoves carries out moves immediately.
func applyMoves(engines []control.Engine, moves []control.Move) {
	for _, m := range moves {
		for i := range engines {
			if h := &engines[i].Holding; h.Endpoint == m.Endpoint {
				h.Model, h.Version, h.Layers = m.Order.Model, m.Order.ReleaseName(), m.Order.Layers
				engines[i].Role = m.Order.Role
			}
		}
	}
}

func holdings(engines []control.Engine, version string, except []control.Move) []route.Holding {
	var all []route.Holding
	for _, e := range engines {
		moved := false
		for _, m := range except {
			moved = moved || m.Endpoint == e.Holding.Endpoint
		}
		if e.Holding.Version == version && !moved {
			all = append(all, e.Holding)
		}
	}
	return all
}

// loadInOrder is the baseline: the engines, in order, load one pipeline after
// another.
func loadInOrder(engines []control.Engine) []route.Holding {
	var all []route.Holding
	at := 0
	for _, e := range engines {
		h := e.Holding
		h.Layers = route.Range{From: at, To: min(at+e.MaxLayers, layers)}
		at = h.Layers.To % layers
		all = append(all, h)
	}
	return all
}

const maxSteps = 100

// converge carries out moves until there are none, and calls check with the moves of
// each round before it carries them out.
func converge(t *rapid.T, version string, engines []control.Engine, check func(moves []control.Move)) {
	for range maxSteps {
		moves := control.NextMoves(model(version), engines, 2)
		check(moves)
		if len(moves) == 0 {
			return
		}
		applyMoves(engines, moves)
	}
	t.Fatalf("got moves after %d steps, want none", maxSteps)
}

// Placement terminates, covers the model whenever loading in order does, and
// carries a greater flow in total.
func TestPlacementBeatsLoadingInOrder(t *testing.T) {
	t.Parallel()
	better, worse, placedFlow, inOrderFlow := 0, 0, 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		engines := drawEngines(t)
		converge(t, "v1", engines, func([]control.Move) {})
		got := route.MaxFlow(layers, holdings(engines, "v1", nil))
		inOrder := route.MaxFlow(layers, loadInOrder(engines))
		if got == 0 && inOrder > 0 {
			t.Fatalf("got no flow, want some, as loading in order has %f", inOrder)
		}
		placedFlow += got
		inOrderFlow += inOrder
		if got > inOrder*1.001 {
			better++
		}
		if got < inOrder*0.999 {
			worse++
		}
	})
	t.Logf("flow relative to loading in order: %.2f; better in %d cases, worse in %d", placedFlow/inOrderFlow, better, worse)
	if placedFlow <= inOrderFlow {
		t.Fatalf("got a flow of %f, want more than %f", placedFlow, inOrderFlow)
	}
}

// During a rollout, one version covers all layers at any time. A rollout completes
// if there are enough engines.
func TestRolloutKeepsOneVersionCovered(t *testing.T) {
	t.Parallel()
	completed, incomplete := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		engines := drawEngines(t)
		converge(t, "v1", engines, func([]control.Move) {})
		if route.MaxFlow(layers, holdings(engines, "v1", nil)) == 0 {
			return
		}
		converge(t, "v2", engines, func(moves []control.Move) {
			old := route.MaxFlow(layers, holdings(engines, "v1", moves))
			now := route.MaxFlow(layers, holdings(engines, "v2", moves))
			if old == 0 && now == 0 {
				t.Fatalf("got no fully covered version during %v", moves)
			}
		})
		if route.MaxFlow(layers, holdings(engines, "v2", nil)) > 0 {
			completed++
		} else {
			incomplete++
		}
	})
	t.Logf("rolled out %d, not rolled out for lack of engines %d", completed, incomplete)
	if completed == 0 {
		t.Fatal("got no rollout, want some")
	}
}

// The layers of a lost engine are taken over by an engine that can be spared, and
// the flow does not fall.
func TestEngineLossIsRepaired(t *testing.T) {
	t.Parallel()
	repaired := 0
	rapid.Check(t, func(t *rapid.T) {
		engines := drawEngines(t)
		converge(t, "v1", engines, func([]control.Move) {})
		lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
		engines = append(engines[:lost], engines[lost+1:]...)
		before := route.MaxFlow(layers, holdings(engines, "v1", nil))
		converge(t, "v1", engines, func([]control.Move) {})
		after := route.MaxFlow(layers, holdings(engines, "v1", nil))
		if after < before*0.999 {
			t.Fatalf("got flow %f, want at least %f", after, before)
		}
		if after > before {
			repaired++
		}
	})
	t.Logf("repaired %d", repaired)
	if repaired == 0 {
		t.Fatal("got no loss repaired, want some")
	}
}
