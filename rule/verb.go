package rule

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// value is a validated value. Which field is set depends on its key.
type value struct {
	text     string
	number   float64
	flag     bool
	duration time.Duration
	priority Priority
}

// settings are the validated key=value pairs of one rule.
type settings struct {
	values  map[string]value
	invalid bool
}

func (s settings) text(key string) string            { return s.values[key].text }
func (s settings) number(key string) float64         { return s.values[key].number }
func (s settings) flag(key string) bool              { return s.values[key].flag }
func (s settings) duration(key string) time.Duration { return s.values[key].duration }

// valueParser parses the text of one value. It returns a message if the text is
// invalid, and an empty string otherwise.
type valueParser func(text string) (value, string)

// verbSpec defines the keys of one kind of rule and how it is added to a file.
type verbSpec struct {
	keys     map[string]valueParser
	required []string
	add      func(f *File, s settings, origin Origin)
}

const (
	defaultModelDeadline = 60 * time.Second
	maxDeadline          = time.Hour
	maxLayers            = 1024
)

// verbs defines the grammar. The parser contains no verb or key of its own.
var verbs = map[string]verbSpec{
	"limit": {
		keys:     map[string]valueParser{"customer": parseName, "rate": parsePositive, "burst": parsePositive},
		required: []string{"customer", "rate", "burst"},
		add: func(f *File, s settings, origin Origin) {
			f.Limits = append(f.Limits, Limit{
				Customer: s.text("customer"), Rate: s.number("rate"), Burst: s.number("burst"), Origin: origin,
			})
		},
	},
	"class": {
		keys: map[string]valueParser{
			"name": parseName, "path": parsePath, "service": parseName, "idempotent": parseYesNo, "deadline": parseDeadline, "priority": parsePriority,
		},
		required: []string{"path", "service", "idempotent", "deadline"},
		add:      addClass,
	},
	"model": {
		keys: map[string]valueParser{
			"name": parseName, "version": parseVersionPart, "layers": parseLayers, "objective": parseObjective, "deadline": parseDeadline, "placement": parsePlacement, "adapter": parseVersionPart,
		},
		required: []string{"name", "version", "layers", "objective"},
		add:      addModel,
	},
	"endpoint": {
		keys:     map[string]valueParser{"name": parseName, "fences": parseYesNo, "honors_keys": parseYesNo, "role": parseRole},
		required: []string{"name"},
		add: func(f *File, s settings, origin Origin) {
			f.Endpoints = append(f.Endpoints, Endpoint{
				Name: s.text("name"), Fences: s.flag("fences"), HonorsKeys: s.flag("honors_keys"),
				Standby: s.flag("role"), Origin: origin,
			})
		},
	},
}

func addClass(f *File, s settings, origin Origin) {
	c := Class{
		Name: s.text("name"), Path: s.text("path"), Service: s.text("service"),
		Idempotent: s.flag("idempotent"), Deadline: s.duration("deadline"), Priority: PriorityNormal, Origin: origin,
	}
	if c.Name == "" {
		c.Name = strings.Trim(c.Path, "/*")
	}
	if v, ok := s.values["priority"]; ok {
		c.Priority = v.priority
	}
	f.Classes = append(f.Classes, c)
}

func addModel(f *File, s settings, origin Origin) {
	m := Model{
		Name: s.text("name"), Version: s.text("version"), Layers: int(s.number("layers")),
		Objective: Objective(s.text("objective")), Deadline: s.duration("deadline"),
		AutoPlacement: s.flag("placement"), Origin: origin,
	}
	if adapter := s.text("adapter"); adapter != "" {
		m.Version += "+" + adapter
	}
	if m.Deadline == 0 {
		m.Deadline = defaultModelDeadline
	}
	f.Models = append(f.Models, m)
}

func verbNames() []string {
	names := lo.Keys(verbs)
	slices.Sort(names)
	return names
}

func keyNames(v verbSpec) []string {
	names := lo.Keys(v.keys)
	slices.Sort(names)
	return names
}

func itoa(n int) string { return strconv.Itoa(n) }

func parseName(text string) (value, string) {
	if text == "" {
		return value{}, "got an empty name"
	}
	return value{text: text}, ""
}

// parseVersionPart accepts a name without a plus sign, which separates the
// version from the adapter.
func parseVersionPart(text string) (value, string) {
	if strings.Contains(text, "+") {
		return value{}, fmt.Sprintf("got %q, want a name without +", text)
	}
	return parseName(text)
}

func parseRole(text string) (value, string) {
	names := []string{"serve", "standby"}
	if !slices.Contains(names, text) {
		return value{}, describeUnknown("role", text, names)
	}
	return value{flag: text == "standby"}, ""
}

func parsePath(text string) (value, string) {
	if !strings.HasPrefix(text, "/") {
		return value{}, fmt.Sprintf("got path %q, want one that starts with /", text)
	}
	return value{text: text}, ""
}

// parsePositive accepts a number with or without the unit /s, such as 40 or
// 40/s.
func parsePositive(text string) (value, string) {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, "/s"), 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > 1e9 {
		return value{}, fmt.Sprintf("got %q, want a number above 0 and at most 1e9", text)
	}
	return value{number: n}, ""
}

func parseLayers(text string) (value, string) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLayers {
		return value{}, fmt.Sprintf("got %q layers, want 1 to %d", text, maxLayers)
	}
	return value{number: float64(n)}, ""
}

func parseYesNo(text string) (value, string) {
	if text != "yes" && text != "no" {
		return value{}, fmt.Sprintf("got %q, want yes or no", text)
	}
	return value{flag: text == "yes"}, ""
}

func parsePlacement(text string) (value, string) {
	names := []string{"auto", "manual"}
	if !slices.Contains(names, text) {
		return value{}, describeUnknown("placement", text, names)
	}
	return value{flag: text == "auto"}, ""
}

func parseDeadline(text string) (value, string) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return value{}, fmt.Sprintf("got deadline %q, want a duration such as 5s, at most %s", text, maxDeadline)
	}
	return value{duration: d}, ""
}

func parsePriority(text string) (value, string) {
	names := []string{"low", "normal", "high"}
	i := slices.Index(names, text)
	if i < 0 {
		return value{}, describeUnknown("priority", text, names)
	}
	return value{priority: Priority(i)}, ""
}

func parseObjective(text string) (value, string) {
	names := []string{string(ObjectiveRecovery), string(ObjectiveThroughput)}
	if !slices.Contains(names, text) {
		return value{}, describeUnknown("objective", text, names)
	}
	return value{text: text}, ""
}
