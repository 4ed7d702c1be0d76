package mutant

import (
	"regexp"
	"strings"
)

const (
	// maxReasonLines limits the number of messages in a failure's reason.
	maxReasonLines = 2
	// maxReasonBytes limits the length of each message.
	maxReasonBytes = 200
)

// failedTest matches the line in which a test binary reports a failed test.
var failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// failureReason returns the name of the last failed test in a test binary's output, followed by the
// last test messages or panics.
func failureReason(output string) string {
	var messages []string
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		if isFailureMessage(line) {
			messages = append(messages, line[:min(len(line), maxReasonBytes)])
		}
	}
	test := ""
	if failed := failedTest.FindAllStringSubmatch(output, -1); len(failed) > 0 {
		test = failed[len(failed)-1][1]
	}
	last := messages[max(len(messages)-maxReasonLines, 0):]
	return strings.TrimSpace(test + " " + strings.Join(last, " | "))
}

// isFailureMessage reports whether a line of output is a test's message or a panic, rather than a
// log line of a process that the test started. A line that ends with a colon only
// introduces the lines after it.
func isFailureMessage(line string) bool {
	isMessage := strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:")
	return isMessage && !strings.HasSuffix(line, ":")
}

// firstLines joins at most count lines of a text with "; ".
func firstLines(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[:min(count, len(lines))], "; ")
}
