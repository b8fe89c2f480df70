package commands

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"gorseline/io/logline"
)

// retryWindow is the length of the sliding windows in which the operators' platform limits the
// retries of all instances.
const retryWindow = 10 * time.Second

// retryGroup identifies the retries of one service and cause.
type retryGroup struct{ service, cause string }

// retrySummary summarises the retries of a group.
type retrySummary struct {
	// taken holds the times of the retries in order; denied counts those that the budget did
	// not allow.
	taken  []time.Time
	denied int
	// instances holds the instances that took or were denied retries. minDivisor and
	// maxDivisor are the least and the greatest number of instances by which one of them
	// divided the budget.
	instances              map[string]bool
	minDivisor, maxDivisor int
}

// printRetries prints the number of retries of all instances by service and cause, and the
// window in which they were most frequent. The cause "All" stands for all causes.
func (c *explainCommand) printRetries(lines []logline.Line) {
	groups := map[retryGroup]*retrySummary{}
	for i := range lines {
		l := &lines[i]
		if l.Event != "RetryTaken" && l.Event != "RetryDenied" {
			continue
		}
		for _, cause := range []string{"All", l.Get("Cause")} {
			key := retryGroup{l.Get("Service"), cause}
			if groups[key] == nil {
				groups[key] = &retrySummary{instances: map[string]bool{}}
			}
			groups[key].add(l)
		}
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b retryGroup) int {
		if a.service+a.cause < b.service+b.cause {
			return -1
		}
		return 1
	})
	fmt.Fprintf(c.terminal.out, "%-12s %-12s %8s %8s %6s  %-12s %9s  %s\n",
		"Service", "Cause", "Taken", "Denied", "Most", "Until", "Instances", "DividedBy")
	for _, key := range keys {
		s := groups[key]
		most, until := s.busiestWindow()
		fmt.Fprintf(c.terminal.out, "%-12s %-12s %8d %8d %6d  %-12s %9d  %s\n", key.service, key.cause, len(s.taken), s.denied,
			most, until, len(s.instances), divisorText(s.minDivisor, s.maxDivisor))
	}
	fmt.Fprintf(c.terminal.out, "\nMost is the largest number of retries within %v.\n", retryWindow)
}

func (s *retrySummary) add(l *logline.Line) {
	s.instances[l.Instance] = true
	retries, err := strconv.Atoi(l.Get("Retries"))
	if err != nil {
		retries = 1 // a line of a version that took single retries
	}
	if l.Event == "RetryDenied" {
		s.denied += retries
	} else {
		s.taken = append(s.taken, slices.Repeat([]time.Time{l.Time}, retries)...)
	}
	n, err := strconv.Atoi(l.Get("Instances"))
	if err != nil {
		return // a line of another version
	}
	if s.minDivisor == 0 || n < s.minDivisor {
		s.minDivisor = n
	}
	s.maxDivisor = max(s.maxDivisor, n)
}

// busiestWindow returns the largest number of retries in a window, and the time of the last
// retry in it.
func (s *retrySummary) busiestWindow() (most int, until string) {
	first := 0
	for i, end := range s.taken {
		for end.Sub(s.taken[first]) >= retryWindow {
			first++
		}
		if count := i - first + 1; count > most {
			most, until = count, end.UTC().Format("15:04:05.000")
		}
	}
	return most, until
}

func divisorText(least, greatest int) string {
	if least == greatest {
		return strconv.Itoa(least)
	}
	return strconv.Itoa(least) + "-" + strconv.Itoa(greatest)
}
