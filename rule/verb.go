package rule

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// value is a checked value; which field is set depends on its key.
type value struct {
	text     string
	number   float64
	yes      bool
	duration time.Duration
	priority Priority
}

// settings are the checked key=value pairs of one rule.
type settings struct {
	values map[string]value
	broken bool
}

func (s settings) text(key string) string        { return s.values[key].text }
func (s settings) number(key string) float64     { return s.values[key].number }
func (s settings) yes(key string) bool           { return s.values[key].yes }
func (s settings) time(key string) time.Duration { return s.values[key].duration }

// reader checks the text of one value and returns a complaint if it is wrong.
type reader func(text string) (value, string)

// verb describes one kind of rule.
type verb struct {
	keys     map[string]reader
	required []string
	add      func(f *File, s settings, origin Origin)
}

const (
	defaultModelDeadline = 60 * time.Second
	maxDeadline          = time.Hour
	maxLayers            = 1024
)

// verbs is the whole grammar; parse.go knows nothing else of it.
var verbs = map[string]verb{
	"limit": {
		keys:     map[string]reader{"customer": name, "rate": positive, "burst": positive},
		required: []string{"customer", "rate", "burst"},
		add: func(f *File, s settings, origin Origin) {
			f.Limits = append(f.Limits, Limit{
				Customer: s.text("customer"), Rate: s.number("rate"), Burst: s.number("burst"), Origin: origin,
			})
		},
	},
	"class": {
		keys: map[string]reader{
			"name": name, "path": path, "service": name, "idempotent": yesNo, "deadline": deadline, "priority": priority,
		},
		required: []string{"path", "service", "idempotent", "deadline"},
		add:      addClass,
	},
	"model": {
		keys: map[string]reader{
			"name": name, "version": version, "layers": layers, "objective": objective, "deadline": deadline, "placement": placement, "adapter": version,
		},
		required: []string{"name", "version", "layers", "objective"},
		add:      addModel,
	},
	"endpoint": {
		keys:     map[string]reader{"name": name, "fences": yesNo, "honors_keys": yesNo, "role": role},
		required: []string{"name"},
		add: func(f *File, s settings, origin Origin) {
			f.Endpoints = append(f.Endpoints, Endpoint{
				Name: s.text("name"), Fences: s.yes("fences"), HonorsKeys: s.yes("honors_keys"),
				Standby: s.yes("role"), Origin: origin,
			})
		},
	},
}

func addClass(f *File, s settings, origin Origin) {
	c := Class{
		Name: s.text("name"), Path: s.text("path"), Service: s.text("service"),
		Idempotent: s.yes("idempotent"), Deadline: s.time("deadline"), Priority: PriorityNormal, Origin: origin,
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
		Objective: Objective(s.text("objective")), Deadline: s.time("deadline"),
		Placed: s.yes("placement"), Origin: origin,
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

func keyNames(v verb) []string {
	names := lo.Keys(v.keys)
	slices.Sort(names)
	return names
}

func itoa(n int) string { return strconv.Itoa(n) }

func name(text string) (value, string) {
	if text == "" {
		return value{}, "got an empty name"
	}
	return value{text: text}, ""
}

// version is a name without the sign that joins a version and an adapter.
func version(text string) (value, string) {
	if strings.Contains(text, "+") {
		return value{}, fmt.Sprintf("got %q, want a name without +", text)
	}
	return name(text)
}

func role(text string) (value, string) {
	names := []string{"serve", "standby"}
	if !slices.Contains(names, text) {
		return value{}, unknown("role", text, names)
	}
	return value{yes: text == "standby"}, ""
}

func path(text string) (value, string) {
	if !strings.HasPrefix(text, "/") {
		return value{}, fmt.Sprintf("got path %q, want one that starts with /", text)
	}
	return value{text: text}, ""
}

// positive accepts 40 and 40/s.
func positive(text string) (value, string) {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, "/s"), 64)
	if err != nil || n <= 0 || n > 1e9 {
		return value{}, fmt.Sprintf("got %q, want a number above 0", text)
	}
	return value{number: n}, ""
}

func layers(text string) (value, string) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLayers {
		return value{}, fmt.Sprintf("got %q layers, want 1 to %d", text, maxLayers)
	}
	return value{number: float64(n)}, ""
}

func yesNo(text string) (value, string) {
	if text != "yes" && text != "no" {
		return value{}, fmt.Sprintf("got %q, want yes or no", text)
	}
	return value{yes: text == "yes"}, ""
}

func placement(text string) (value, string) {
	names := []string{"auto", "manual"}
	if !slices.Contains(names, text) {
		return value{}, unknown("placement", text, names)
	}
	return value{yes: text == "auto"}, ""
}

func deadline(text string) (value, string) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return value{}, fmt.Sprintf("got deadline %q, want a time such as 5s, at most %s", text, maxDeadline)
	}
	return value{duration: d}, ""
}

func priority(text string) (value, string) {
	names := []string{"low", "normal", "high"}
	i := slices.Index(names, text)
	if i < 0 {
		return value{}, unknown("priority", text, names)
	}
	return value{priority: Priority(i)}, ""
}

func objective(text string) (value, string) {
	names := []string{string(ObjectiveRecovery), string(ObjectiveThroughput)}
	if !slices.Contains(names, text) {
		return value{}, unknown("objective", text, names)
	}
	return value{text: text}, ""
}
