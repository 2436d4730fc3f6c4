package rule

import (
	"strings"

	"github.com/samber/lo"
)

// Diff lists the rules that occur in only one of two files, as "- old" and
// "+ new" lines. Order and empty lines are not significant in a rule file, so
// they are ignored.
func Diff(before, after string) string {
	removed, added := lo.Difference(ruleLines(before), ruleLines(after))
	var b strings.Builder
	for _, line := range removed {
		b.WriteString("- " + line + "\n")
	}
	for _, line := range added {
		b.WriteString("+ " + line + "\n")
	}
	return b.String()
}

// ruleLines returns the lines that contain a rule, with whitespace normalized
// to single spaces.
func ruleLines(text string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		line = strings.Join(strings.Fields(line), " ")
		if line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}
