package rule

import (
	"strings"

	"github.com/samber/lo"
)

// Diff lists the rules that only one of two files has, as "- old" and "+ new"
// lines. Order and empty lines mean nothing in a rule file, so they do not
// count.
func Diff(before, after string) string {
	gone, come := lo.Difference(rules(before), rules(after))
	var b strings.Builder
	for _, line := range gone {
		b.WriteString("- " + line + "\n")
	}
	for _, line := range come {
		b.WriteString("+ " + line + "\n")
	}
	return b.String()
}

// rules returns the lines that are rules, their words one blank apart.
func rules(text string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		line = strings.Join(strings.Fields(line), " ")
		if line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}
