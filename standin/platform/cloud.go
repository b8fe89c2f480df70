package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CloudOptions configure a Cloud. Zero fields get defaults.
type CloudOptions struct {
	// CallsPerSecond is the rate beyond which calls get status 429; 0 is no limit.
	CallsPerSecond float64
	// HolderGap is the time in which holders mustn't take turns; 0 allows all turns.
	HolderGap time.Duration
	// Machine returns the machine that has a sender's IP address. If it returns an empty text, the
	// machine is the holder's name, for senders that share an address. nil stands for the IP address.
	Machine func(ip string) string
}

// CloudFaults are the faults that a Cloud injects into its calls.
type CloudFaults struct {
	// Status is the HTTP status that all calls are refused with; 0 refuses none.
	Status int
	// Unresponsive makes the API accept calls and never answer them. They have no effect.
	Unresponsive bool
	// Delay postpones the effect and the answer of each call.
	Delay time.Duration
	// DropResponses is the number of next calls that take effect without a response.
	DropResponses int
	// DroppedDelay postpones the effect of calls without a response, but not the loss of the response.
	DroppedDelay time.Duration
	// Unavailable lists where there are no servers: orders that raise their number get status 409.
	Unavailable []CloudServers
}

// CloudServers are the servers of one kind in a data centre, or in all if Zone is empty.
type CloudServers struct {
	Zone string
	Spot bool
}

// CloudCall is a call that a Cloud received, also if it was refused.
type CloudCall struct {
	At   time.Time
	Path string
	// Sender is the sender's IP address and port, and Machine its machine, see CloudOptions.
	Sender, Machine string
	Holder          string
	Fence           uint64
	Body            []byte
	// Subject names what the call is about within its path.
	Subject string
	// Malformed says what is wrong with the call's format; it is empty if nothing is.
	Malformed string
	// IsExcused is set if the rules about the order of calls don't apply, see Cloud.Excuse.
	IsExcused bool
	// Status is the answer's status, and 0 if there was no answer (yet).
	Status int

	usage *usageCall
	scale *scaleCall
}

// CloudOrder names what orders for servers set.
type CloudOrder struct {
	Service, Zone string
	Spot          bool
}

// Cloud is a fake of the platform's API for the duties of one instance at a time. It serves
// POST /usage and POST /scale, records the calls and checks the rules. It is safe for concurrent use.
type Cloud struct {
	options CloudOptions

	mu     sync.Mutex
	faults CloudFaults
	calls  []CloudCall
	// admitted holds the times of the calls within the rate limit's latest period.
	admitted []time.Time
	reports  map[uint64]map[string]int
	ordered  map[CloudOrder]int
	// conflicts describes reports that differ from the accepted one of their window.
	conflicts []string
	// excused maps machines to the ends of their excuses.
	excused map[string]time.Time
	// late counts the calls that have arrived and whose effect is still to come; applied is signalled when
	// it becomes lower. A sync.WaitGroup doesn't allow calls to arrive during a wait.
	late    int
	applied *sync.Cond
}

var _ http.Handler = (*Cloud)(nil)

// NewCloud returns a Cloud that has received no call.
func NewCloud(o CloudOptions) *Cloud {
	if o.Machine == nil {
		o.Machine = func(ip string) string { return ip }
	}
	c := &Cloud{options: o, reports: map[uint64]map[string]int{}, ordered: map[CloudOrder]int{}, excused: map[string]time.Time{}}
	c.applied = sync.NewCond(&c.mu)
	return c
}

// SetFaults replaces the injected faults.
func (c *Cloud) SetFaults(f CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// SetServers sets the number of servers without an order, as before the first order.
func (c *Cloud) SetServers(of CloudOrder, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordered[of] = n
}

// Excuse exempts the calls that arrive from a machine within a time from the rules about their order. It
// is called when the machine was frozen or cut off and goes on.
func (c *Cloud) Excuse(machine string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused[machine] = time.Now().Add(d)
}

// Calls returns the calls received so far in the order of their arrival.
func (c *Cloud) Calls() []CloudCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// Reports returns the accepted report of each window.
func (c *Cloud) Reports() map[uint64]map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// Ordered returns the numbers of servers that are in force.
func (c *Cloud) Ordered() map[CloudOrder]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.ordered)
}

// WaitForLateCalls blocks until all calls that have arrived and take effect have done so.
func (c *Cloud) WaitForLateCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.late > 0 {
		c.applied.Wait()
	}
}

// maxCallBytes bounds the body of a call; the reports of a few thousand organisations are smaller.
const maxCallBytes = 1 << 20

// ServeHTTP records a call, injects the faults and carries the call out. A call whose body doesn't arrive
// in full is none.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call := readCall(r, body)
	c.mu.Lock()
	index := c.record(call)
	faults := c.faults
	status := c.refusal(&call)
	takesEffect := status == 0 && !faults.Unresponsive
	isDropped := takesEffect && faults.DropResponses > 0
	if isDropped {
		c.faults.DropResponses--
	}
	if takesEffect {
		c.late++
	}
	c.mu.Unlock()
	switch {
	case faults.Unresponsive:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case isDropped:
		go func() {
			time.Sleep(faults.Delay + faults.DroppedDelay)
			c.apply(&call)
		}()
		time.Sleep(faults.Delay)
		panic(http.ErrAbortHandler)
	case takesEffect:
		// The sender may be gone by then; the call takes effect nevertheless.
		time.Sleep(faults.Delay)
		status = c.apply(&call)
	}
	c.mu.Lock()
	c.calls[index].Status = status
	c.mu.Unlock()
	w.WriteHeader(status)
}

// record adds a call to the record and returns its index. The lock must be held.
func (c *Cloud) record(call CloudCall) int {
	call.At = time.Now()
	call.Machine = c.options.Machine(senderIP(call.Sender))
	if call.Machine == "" {
		call.Machine = call.Holder
	}
	call.IsExcused = call.At.Before(c.excused[call.Machine])
	c.calls = append(c.calls, call)
	return len(c.calls) - 1
}

// refusal returns the status with which a call is refused at its arrival, or 0 if it isn't. The lock must
// be held.
func (c *Cloud) refusal(call *CloudCall) int {
	switch {
	case c.faults.Status != 0:
		return c.faults.Status
	case call.Malformed != "":
		return http.StatusBadRequest
	case !c.admit(time.Now()):
		return http.StatusTooManyRequests
	}
	return 0
}

// admit reports whether a call is within the rate limit. The lock must be held.
func (c *Cloud) admit(now time.Time) bool {
	limit := c.options.CallsPerSecond
	if limit <= 0 {
		return true
	}
	period := time.Duration(float64(time.Second) * max(1, 1/limit))
	c.admitted = slices.DeleteFunc(c.admitted, func(at time.Time) bool { return now.Sub(at) >= period })
	if len(c.admitted) >= max(1, int(limit)) {
		return false
	}
	c.admitted = append(c.admitted, now)
	return true
}

// apply carries a call out and returns the status of its answer.
func (c *Cloud) apply(call *CloudCall) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late--
	c.applied.Broadcast()
	if call.usage != nil {
		c.applyUsage(call)
		return http.StatusOK
	}
	order, desired := call.scale.order(), *call.scale.Desired
	isUnavailable := slices.ContainsFunc(c.faults.Unavailable, func(s CloudServers) bool {
		return s.Spot == order.Spot && (s.Zone == "" || s.Zone == order.Zone)
	})
	if isUnavailable && desired > c.ordered[order] {
		return http.StatusConflict
	}
	c.ordered[order] = desired
	return http.StatusOK
}

// applyUsage keeps the first report of a window. The lock must be held.
func (c *Cloud) applyUsage(call *CloudCall) {
	window := *call.usage.WindowID
	kept, ok := c.reports[window]
	if !ok {
		c.reports[window] = call.usage.Counts
		return
	}
	if !maps.Equal(kept, call.usage.Counts) {
		c.conflicts = append(c.conflicts, "window "+strconv.FormatUint(window, 10)+": two different reports were accepted, the second from "+
			call.Holder+" with token "+strconv.FormatUint(call.Fence, 10))
	}
}

// usageCall and scaleCall are the bodies of calls. Fields that are required are pointers.
type usageCall struct {
	WindowID *uint64        `json:"window_id"`
	Counts   map[string]int `json:"counts"`
}

type scaleCall struct {
	Service *string `json:"service"`
	Zone    *string `json:"zone"`
	Desired *int    `json:"desired"`
	Spot    bool    `json:"spot"`
}

func (s *scaleCall) order() CloudOrder { return CloudOrder{*s.Service, *s.Zone, s.Spot} }

// readCall decodes a call and says what is wrong with its format.
func readCall(r *http.Request, body []byte) CloudCall {
	call := CloudCall{Path: r.URL.Path, Sender: r.RemoteAddr, Holder: r.Header.Get("X-Duty-Holder"), Body: body}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	call.Fence = fence
	switch {
	case r.Method != http.MethodPost || r.URL.RawQuery != "":
		call.Malformed = "not a POST without a query"
	case call.Holder == "":
		call.Malformed = "no holder"
	case err != nil:
		call.Malformed = "no token"
	case r.Header.Get("Content-Type") != "application/json":
		call.Malformed = "content type isn't application/json"
	case len(body) > maxCallBytes:
		call.Malformed = "body is too large"
	default:
		call.Malformed = call.readBody()
	}
	return call
}

// readBody decodes the body by the path and says what is wrong with it.
func (call *CloudCall) readBody() (malformed string) {
	decoder := json.NewDecoder(strings.NewReader(string(call.Body)))
	decoder.DisallowUnknownFields()
	switch call.Path {
	case "/usage":
		var usage usageCall
		if decoder.Decode(&usage) != nil || decoder.More() || usage.WindowID == nil || usage.Counts == nil {
			return "body is no usage report"
		}
		for _, n := range usage.Counts {
			if n < 0 {
				return "count below 0"
			}
		}
		call.usage = &usage
		return ""
	case "/scale":
		var scale scaleCall
		if decoder.Decode(&scale) != nil || decoder.More() || scale.Service == nil || scale.Zone == nil || scale.Desired == nil {
			return "body is no order for servers"
		}
		if *scale.Service == "" || *scale.Zone == "" || *scale.Desired < 0 {
			return "empty name or number below 0"
		}
		call.scale = &scale
		call.Subject = *scale.Service + " in " + *scale.Zone
		return ""
	}
	return "unknown path"
}
