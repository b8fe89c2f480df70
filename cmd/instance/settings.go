// Package instance assembles an entry instance from its components.
package instance

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"gorseline/core"
)

// Settings are the settings of one instance. Each flag can also be set by an environment
// variable with the prefix GORSELINE_.
type Settings struct {
	Instance   string `long:"instance" env:"INSTANCE" description:"Name of this instance, unique in the fleet" required:"true"`
	DataCentre string `long:"data-centre" env:"DATA_CENTRE" description:"Data centre of this instance" required:"true"`

	CallersListen   string `long:"callers-listen" env:"CALLERS_LISTEN" description:"Address for callers" default:"0.0.0.0:7000"`
	OperatorsListen string `long:"operators-listen" env:"OPERATORS_LISTEN" description:"Address for operators and metrics" default:"0.0.0.0:7001"`
	PeersListen     string `long:"peers-listen" env:"PEERS_LISTEN" description:"Address for other instances" default:"0.0.0.0:7002"`
	CallersAddress  string `long:"callers-address" env:"CALLERS_ADDRESS" description:"IP:port that is announced to callers; the listening address if empty"`
	PeersAddress    string `long:"peers-address" env:"PEERS_ADDRESS" description:"IP:port that is announced to other instances; the listening address if empty"`

	TableURL     string `long:"table-url" env:"TABLE_URL" description:"Table service of the platform" required:"true"`
	ObjectsURL   string `long:"objects-url" env:"OBJECTS_URL" description:"Object store of the platform" required:"true"`
	InstancesURL string `long:"instances-url" env:"INSTANCES_URL" description:"Instance list of the platform" required:"true"`

	ResumeKey         string   `long:"resume-key" env:"RESUME_KEY" description:"Key of resume tokens, the same on all instances, at least 16 bytes" required:"true"`
	PreviousResumeKey []string `long:"previous-resume-key" env:"PREVIOUS_RESUME_KEY" env-delim:"," description:"Earlier key whose resume tokens are still accepted"`

	Shards        int           `long:"shards" env:"SHARDS" description:"Number of shards that targets are spread over; the same on all instances" default:"4"`
	Groups        int           `long:"groups" env:"GROUPS" description:"Number of groups of a service's targets whose roles are planned together; the same on all instances" default:"1"`
	LoadPolls     int           `long:"load-polls" env:"LOAD_POLLS" description:"Maximum number of load reports read in 2 s; 4 reports cost 1.3 KB/s" default:"64"`
	MaxBody       int64         `long:"max-body" env:"MAX_BODY" description:"Maximum size of a request body in bytes" default:"8388608"`
	MaxHeader     int           `long:"max-header" env:"MAX_HEADER" description:"Maximum size of a request header in bytes" default:"65536"`
	HeaderTimeout time.Duration `long:"header-timeout" env:"HEADER_TIMEOUT" description:"Time for a caller to send its header" default:"10s"`
	BodyTimeout   time.Duration `long:"body-timeout" env:"BODY_TIMEOUT" description:"Time for a caller to send header and body" default:"60s"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"IDLE_TIMEOUT" description:"Time after which an idle connection is closed" default:"120s"`
	LeaveTimeout  time.Duration `long:"leave-limit" env:"LEAVE_LIMIT" description:"Maximum duration of a graceful shutdown" default:"5m"`
	EventsKept    int           `long:"events-kept" env:"EVENTS_KEPT" description:"Number of events kept in memory for the timeline" default:"8192"`
	LogLevel      string        `long:"log-level" env:"LOG_LEVEL" description:"Minimum level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	OrdersViaPeer bool          `long:"second-sender" env:"SECOND_SENDER" description:"Deliver orders to targets that ignore fences through a second instance"`

	TLS TLSSettings `group:"TLS" namespace:"tls" env-namespace:"TLS"`
}

// TLSSettings names the files for TLS. Without a certificate all ports serve plain HTTP.
type TLSSettings struct {
	Certificate string `long:"certificate" env:"CERTIFICATE" description:"Certificate file, reloaded when it changes"`
	Key         string `long:"key" env:"KEY" description:"Key file of the certificate"`
	ClientCA    string `long:"client-ca" env:"CLIENT_CA" description:"CA file for client certificates of operators and peers; they are required if it is set"`
}

// Parse returns the settings from command-line arguments, environment variables and
// defaults, in this order of precedence. It doesn't validate them.
func Parse(arguments ...string) (Settings, error) {
	var s Settings
	parser := flags.NewParser(&s, flags.None)
	parser.EnvNamespace = "GORSELINE"
	_, err := parser.ParseArgs(arguments)
	return s, err
}

// Validate returns an error that gives the first invalid setting, its value and the accepted
// values. The value of a key is not shown.
func (s Settings) Validate() error {
	checks := []error{
		checkAddress("--callers-listen", s.CallersListen),
		checkAddress("--operators-listen", s.OperatorsListen),
		checkAddress("--peers-listen", s.PeersListen),
		checkURL("--table-url", s.TableURL),
		checkURL("--objects-url", s.ObjectsURL),
		checkURL("--instances-url", s.InstancesURL),
		checkRange("--shards", s.Shards, 1, 4096),
		checkRange("--groups", s.Groups, 1, 64),
		checkRange("--load-polls", s.LoadPolls, 1, 4096),
		checkRange("--max-body", s.MaxBody, 1<<10, 256<<20),
		checkRange("--max-header", s.MaxHeader, 1<<10, 1<<20),
		checkRange("--events-kept", s.EventsKept, 16, 1<<20),
		checkRange("--header-timeout", s.HeaderTimeout, 100*time.Millisecond, 10*time.Minute),
		checkRange("--body-timeout", s.BodyTimeout, s.HeaderTimeout, time.Hour),
		checkRange("--idle-timeout", s.IdleTimeout, time.Second, time.Hour),
		checkRange("--leave-limit", s.LeaveTimeout, time.Second, time.Hour),
		s.TLS.validate(),
	}
	if s.CallersAddress != "" {
		checks = append(checks, checkIPAddress("--callers-address", s.CallersAddress))
	}
	if s.PeersAddress != "" {
		checks = append(checks, checkIPAddress("--peers-address", s.PeersAddress))
	}
	for _, key := range append([]string{s.ResumeKey}, s.PreviousResumeKey...) {
		if len(key) < 16 {
			// The error gives only the length, because the key is a secret.
			checks = append(checks, invalid("--resume-key", "a key of "+fmt.Sprint(len(key))+" bytes", "a key of at least 16 bytes"))
		}
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return s.validateListeners()
}

// validateListeners rejects two ports with the same address, which keeps the operators' API
// off the callers' port. Port 0 is chosen by the system and may be repeated.
func (s Settings) validateListeners() error {
	flagByAddress := map[string]string{}
	for _, l := range [...][2]string{
		{"--callers-listen", s.CallersListen},
		{"--operators-listen", s.OperatorsListen},
		{"--peers-listen", s.PeersListen},
	} {
		if other, used := flagByAddress[l[1]]; used && !strings.HasSuffix(l[1], ":0") {
			return invalid(l[0], l[1], "another address than "+other)
		}
		flagByAddress[l[1]] = l[0]
	}
	return nil
}

func (s TLSSettings) validate() error {
	if (s.Certificate == "") != (s.Key == "") {
		return invalid("--tls.certificate", s.Certificate, "both --tls.certificate and --tls.key, or neither")
	}
	if s.ClientCA != "" && s.Certificate == "" {
		return invalid("--tls.client-ca", s.ClientCA, "only with --tls.certificate")
	}
	return nil
}

func invalid(name, value, accepted string) error {
	return &core.InvalidValueError{Path: name, Value: value, Accepted: []string{accepted}}
}

func checkAddress(name, value string) error {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		return invalid(name, value, "host:port")
	}
	return nil
}

// checkIPAddress accepts IP addresses only, because instances connect by IP address.
func checkIPAddress(name, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return invalid(name, value, "IP:port")
	}
	return nil
}

func checkURL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return invalid(name, value, "a URL such as http://10.0.0.9:9000")
	}
	return nil
}

func checkRange[T int | int64 | time.Duration](name string, value, low, high T) error {
	if value < low || value > high {
		return invalid(name, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high))
	}
	return nil
}
