package rule

import (
	"cmp"
	"slices"
	"strings"
)

// Parse parses a rule file. The error, if any, is an *Error that holds all
// faults, not only the first.
func Parse(text string) (*File, error) {
	p := &parser{file: &File{}}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, line)
	}
	p.checkDuplicates()
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

func (p *parser) addFault(line, column int, message string) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: message})
}

// parseLine parses one line, which is empty, a comment or a rule.
func (p *parser) parseLine(n int, text string) {
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") {
		return
	}
	body, comment, hasComment := strings.Cut(text, "#")
	origin := p.parseOrigin(n, body, comment, hasComment)
	words := splitWords(body)
	spec, ok := verbs[words[0].text]
	if !ok {
		p.addFault(n, words[0].column, describeUnknown("verb", words[0].text, verbNames()))
		return
	}
	s := p.parseSettings(n, words[0], words[1:], spec)
	if s.invalid {
		return
	}
	spec.add(p.file, s, origin)
}

// parseOrigin parses the comment that states who requested a rule and why.
func (p *parser) parseOrigin(n int, body, comment string, hasComment bool) Origin {
	who, why, hasColon := strings.Cut(comment, ":")
	who = strings.TrimSpace(who)
	why = strings.TrimSpace(why)
	column := len(strings.TrimRight(body, " \t")) + 1
	if !hasComment {
		p.addFault(n, column, `got no comment, want "# who: why" on the same line`)
	} else if !hasColon || who == "" || why == "" {
		p.addFault(n, column, `got a comment without who and why, want "# who: why"`)
	}
	return Origin{Line: n, Who: who, Why: why}
}

// word is a whitespace-separated token with the column at which it starts.
type word struct {
	text   string
	column int
}

func splitWords(body string) []word {
	var words []word
	start := -1
	for i, r := range body + " " {
		isBlank := r == ' ' || r == '\t' || r == '\r'
		if isBlank && start >= 0 {
			words = append(words, word{text: body[start:i], column: start + 1})
			start = -1
		}
		if !isBlank && start < 0 {
			start = i
		}
	}
	return words
}

// parseSettings parses and validates the key=value words of one rule.
func (p *parser) parseSettings(n int, verbWord word, words []word, spec verbSpec) settings {
	s := settings{values: map[string]value{}}
	before := len(p.faults)
	for _, w := range words {
		p.parseSetting(n, w, spec, s)
	}
	for _, k := range spec.required {
		if _, ok := s.values[k]; !ok && !hasKey(words, k) {
			p.addFault(n, verbWord.column, "got "+verbWord.text+" without "+k+", want "+k+"=...")
		}
	}
	s.invalid = len(p.faults) > before
	return s
}

func hasKey(words []word, key string) bool {
	return slices.ContainsFunc(words, func(w word) bool {
		return strings.HasPrefix(w.text, key+"=")
	})
}

func (p *parser) parseSetting(n int, w word, spec verbSpec, s settings) {
	key, text, ok := strings.Cut(w.text, "=")
	if !ok {
		p.addFault(n, w.column, "got "+w.text+", want key=value")
		return
	}
	parseValue, ok := spec.keys[key]
	if !ok {
		p.addFault(n, w.column, describeUnknown("key", key, keyNames(spec)))
		return
	}
	if _, exists := s.values[key]; exists {
		p.addFault(n, w.column, "got "+key+" twice, want it once")
		return
	}
	val, message := parseValue(text)
	if message != "" {
		p.addFault(n, w.column+len(key)+1, message)
		return
	}
	s.values[key] = val
}

// checkDuplicates reports rules that are defined more than once.
func (p *parser) checkDuplicates() {
	firstLine := map[string]int{}
	requireUnique := func(subject string, line int) {
		if first, ok := firstLine[subject]; ok {
			p.addFault(line, 1, "got "+subject+" twice, want it only on line "+itoa(first))
			return
		}
		firstLine[subject] = line
	}
	for _, l := range p.file.Limits {
		requireUnique("a limit for customer "+l.Customer, l.Origin.Line)
	}
	for _, c := range p.file.Classes {
		requireUnique("a class for path "+c.Path, c.Origin.Line)
	}
	for _, m := range p.file.Models {
		requireUnique("a model "+m.Name, m.Origin.Line)
	}
	for _, e := range p.file.Endpoints {
		requireUnique("an endpoint "+e.Name, e.Origin.Line)
	}
}
