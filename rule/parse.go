package rule

import (
	"cmp"
	"slices"
	"strings"
)

// Parse reads a whole rule file. The error, if any, is an *Error that holds
// every fault, not only the first.
func Parse(text string) (*File, error) {
	p := &parser{file: &File{}}
	for i, line := range strings.Split(text, "\n") {
		p.line(i+1, line)
	}
	p.crossCheck()
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, &Error{Op: "parse", Kind: KindFaulty, Faults: p.faults}
	}
	return p.file, nil
}

type parser struct {
	file   *File
	faults []Fault
}

func (p *parser) fault(line, column int, message string) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: message})
}

// line reads one line: empty, a comment of its own, or a rule.
func (p *parser) line(n int, text string) {
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") {
		return
	}
	body, comment, found := strings.Cut(text, "#")
	origin := p.origin(n, body, comment, found)
	words := split(body)
	v, ok := verbs[words[0].text]
	if !ok {
		p.fault(n, words[0].column, unknown("verb", words[0].text, verbNames()))
		return
	}
	s := p.settings(n, words[0], words[1:], v)
	if s.broken {
		return
	}
	v.add(p.file, s, origin)
}

// origin reads the comment that names who asked for a rule and why.
func (p *parser) origin(n int, body, comment string, found bool) Origin {
	who, why, colon := strings.Cut(comment, ":")
	who = strings.TrimSpace(who)
	why = strings.TrimSpace(why)
	column := len(strings.TrimRight(body, " \t")) + 1
	if !found {
		p.fault(n, column, `got no comment, want "# who: why" on the same line`)
	} else if !colon || who == "" || why == "" {
		p.fault(n, column, `got a comment without who and why, want "# who: why"`)
	}
	return Origin{Line: n, Who: who, Why: why}
}

// word is a piece of a line with the column it starts at.
type word struct {
	text   string
	column int
}

func split(body string) []word {
	var words []word
	start := -1
	for i, r := range body + " " {
		blank := r == ' ' || r == '\t' || r == '\r'
		if blank && start >= 0 {
			words = append(words, word{text: body[start:i], column: start + 1})
			start = -1
		}
		if !blank && start < 0 {
			start = i
		}
	}
	return words
}

// settings reads the key=value words of one rule and checks each value.
func (p *parser) settings(n int, verb word, words []word, v verb) settings {
	s := settings{values: map[string]value{}}
	before := len(p.faults)
	for _, w := range words {
		p.setting(n, w, v, s)
	}
	for _, k := range v.required {
		if _, ok := s.values[k]; !ok && !named(words, k) {
			p.fault(n, verb.column, "got "+verb.text+" without "+k+", want "+k+"=...")
		}
	}
	s.broken = len(p.faults) > before
	return s
}

func named(words []word, key string) bool {
	return slices.ContainsFunc(words, func(w word) bool {
		return strings.HasPrefix(w.text, key+"=")
	})
}

func (p *parser) setting(n int, w word, v verb, s settings) {
	key, text, ok := strings.Cut(w.text, "=")
	if !ok {
		p.fault(n, w.column, "got "+w.text+", want key=value")
		return
	}
	read, ok := v.keys[key]
	if !ok {
		p.fault(n, w.column, unknown("key", key, keyNames(v)))
		return
	}
	if _, twice := s.values[key]; twice {
		p.fault(n, w.column, "got "+key+" twice, want it once")
		return
	}
	val, complaint := read(text)
	if complaint != "" {
		p.fault(n, w.column+len(key)+1, complaint)
		return
	}
	s.values[key] = val
}

// crossCheck finds rules that stand twice.
func (p *parser) crossCheck() {
	seen := map[string]int{}
	once := func(what string, line int) {
		if first, ok := seen[what]; ok {
			p.fault(line, 1, "got "+what+" twice, want it only on line "+itoa(first))
			return
		}
		seen[what] = line
	}
	for _, l := range p.file.Limits {
		once("a limit for customer "+l.Customer, l.Origin.Line)
	}
	for _, c := range p.file.Classes {
		once("a class for path "+c.Path, c.Origin.Line)
	}
	for _, m := range p.file.Models {
		once("a model "+m.Name, m.Origin.Line)
	}
	for _, e := range p.file.Endpoints {
		once("an endpoint "+e.Name, e.Origin.Line)
	}
}
