// Package settings loads and validates the settings of a node from a YAML file. Flags override
// environment variables, which override the file, which overrides the defaults.
package settings

import (
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/findings"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Settings are the settings of a node.
type Settings struct {
	Node       Node       `json:"node"`
	Platform   Platform   `json:"platform,omitempty"`
	Operator   Operator   `json:"operator,omitempty"`
	Gateway    Gateway    `json:"gateway,omitempty"`
	Quarantine Quarantine `json:"quarantine,omitempty"`
	TLS        TLS        `json:"tls,omitempty"`
	Log        Log        `json:"log,omitempty"`
}

// Node identifies a node and configures its listener.
type Node struct {
	// ID names the node; it stays the same over restarts.
	ID string `json:"id"`
	// Zone is the zone of the node's machine.
	Zone string `json:"zone"`
	// Region is the region of the zone; default local.
	Region string `json:"region,omitempty"`
	// Zones maps each zone that may have nodes or replicas to its region.
	Zones place.Map `json:"zones,omitempty"`
	// Listen is the host:port for callers and operators.
	Listen string `json:"listen"`
	// MaxStreams is the maximum number of online requests open at this node; default 2000.
	MaxStreams int `json:"maxStreams,omitempty"`
	// MemoryMegabytes is the memory that a node of the product's own interface may use, which bounds what
	// callers make it hold; default 256. Gateways have gateway.memoryMegabytes.
	MemoryMegabytes int `json:"memoryMegabytes,omitempty"`
}

// Platform configures the services of the platform.
type Platform struct {
	Table    TableService `json:"table"`
	Objects  ObjectStore  `json:"objects"`
	Machines MachineList  `json:"machines"`
}

// TableService is a DynamoDB-compatible service.
type TableService struct {
	// Endpoint is the URL of the service.
	Endpoint string `json:"endpoint"`
	// Region is the region that requests are signed for; default local.
	Region string `json:"region,omitempty"`
	// Table is the name of the table.
	Table string `json:"table"`
	// AccessKey is the id of the key that signs requests.
	AccessKey string `json:"accessKey,omitempty"`
	// SecretKey is the secret of AccessKey.
	SecretKey string `json:"secretKey,omitempty"`
}

// ObjectStore is an S3-compatible store.
type ObjectStore struct {
	// Endpoint is the URL of the store.
	Endpoint string `json:"endpoint"`
	// Region is the region that requests are signed for; default local.
	Region string `json:"region,omitempty"`
	// Bucket holds the files of jobs.
	Bucket string `json:"bucket"`
	// AccessKey is the id of the key that signs requests.
	AccessKey string `json:"accessKey,omitempty"`
	// SecretKey is the secret of AccessKey.
	SecretKey string `json:"secretKey,omitempty"`
}

// MachineList is the service that lists the platform's machines.
type MachineList struct {
	// URL answers GET with the list.
	URL string `json:"url"`
}

// Operator holds the operators' credential.
type Operator struct {
	// KeySHA256 is the hex SHA-256 of the operators' key.
	KeySHA256 string `json:"keySHA256"`
}

// TLS configures TLS. Changed files are reloaded.
type TLS struct {
	// Serve holds the files for the listener for callers and operators.
	Serve TLSFiles `json:"serve,omitempty"`
}

// TLSFiles holds the paths of the PEM files of a certificate and its key.
type TLSFiles struct {
	// Certificate is the file with the certificate and the intermediate ones; empty without TLS.
	Certificate string `json:"certificate,omitempty"`
	// Key is the file with the key of Certificate.
	Key string `json:"key,omitempty"`
}

// Set reports whether any path is set.
func (t TLSFiles) Set() bool { return t.Certificate != "" || t.Key != "" }

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level,omitempty"`
}

// Quarantine configures when work that crashes replicas is kept from all replicas. It should be the
// same at all nodes.
type Quarantine struct {
	// Replicas is the number of replicas that work may crash within For before it is quarantined.
	// The default is 3, because a request and its only retry may by chance run on two replicas that
	// crash for other reasons.
	Replicas int `json:"replicas,omitempty"`
	// For is how long a crash counts, and so how long work stays quarantined after the first of its
	// crashes; default 1h. Within that time it crashes at most Replicas replicas, not counting trial
	// runs.
	For v1.Duration `json:"for,omitempty"`
}

func (q *Quarantine) validate(found *findings.List) {
	if q.Replicas < 0 {
		found.Add("quarantine.replicas", "must not be negative")
	}
	if q.For < 0 {
		found.Add("quarantine.for", "must not be negative")
	}
}

// Defaults.
const (
	DefaultRegion     = "local"
	DefaultLogLevel   = "info"
	DefaultMaxStreams = 2000
	// DefaultMemoryMegabytes is the default of Node.MemoryMegabytes.
	DefaultMemoryMegabytes = 256
	// ShutdownTimeout bounds a planned shutdown, including the time for open streams to complete.
	ShutdownTimeout = 5 * time.Minute
)

// ApplyDefaults sets the optional settings that are unset to their defaults.
func (s *Settings) ApplyDefaults() {
	setDefault(&s.Node.Region, DefaultRegion)
	setDefault(&s.Platform.Table.Region, DefaultRegion)
	setDefault(&s.Platform.Objects.Region, DefaultRegion)
	setDefault(&s.Log.Level, DefaultLogLevel)
	if s.Gateway.RelayFrom == 0 {
		s.Gateway.RelayFrom = DefaultRelayFrom
	}
	if s.Gateway.BootstrapAfter == 0 {
		s.Gateway.BootstrapAfter = DefaultBootstrapAfter
	}
	if s.Gateway.Quota.Window == 0 {
		s.Gateway.Quota.Window = DefaultQuotaWindow
	}
	if s.Node.MaxStreams == 0 {
		s.Node.MaxStreams = DefaultMaxStreams
	}
	if s.Node.MemoryMegabytes == 0 {
		s.Node.MemoryMegabytes = DefaultMemoryMegabytes
	}
}

// setDefault sets an empty string to value.
func setDefault(target *string, value string) {
	if *target == "" {
		*target = value
	}
}

// Validate returns all findings about the settings.
func (s *Settings) Validate() []findings.Finding {
	var found findings.List
	checkRequired(&found, "node.id", s.Node.ID)
	checkRequired(&found, "node.zone", s.Node.Zone)
	checkAddress(&found, "node.listen", s.Node.Listen)
	s.Node.Zones.Validate(&found, "node.zones")
	if region, ok := s.Node.Zones[s.Node.Zone]; ok && region != s.Node.Region {
		found.Add("node.region", "zone %q lies in region %q by node.zones, not in %q", s.Node.Zone, region, s.Node.Region)
	}
	if s.Node.MaxStreams < 0 {
		found.Add("node.maxStreams", "must not be negative")
	}
	if s.Node.MemoryMegabytes < 0 {
		found.Add("node.memoryMegabytes", "must not be negative")
	}
	s.Quarantine.validate(&found)
	if s.Gateway.Enabled() {
		s.Gateway.validate(&found)
	} else {
		s.validatePlatform(&found)
	}
	levels := []string{"", "debug", "info", "warn", "error"}
	if !contains(levels, s.Log.Level) {
		found.Add("log.level", "must be debug, info, warn or error")
	}
	return found.All()
}

// validatePlatform checks the settings that a node needs unless it is a gateway.
func (s *Settings) validatePlatform(found *findings.List) {
	checkRequired(found, "platform.table.table", s.Platform.Table.Table)
	checkRequired(found, "platform.objects.bucket", s.Platform.Objects.Bucket)
	checkURL(found, "platform.table.endpoint", s.Platform.Table.Endpoint)
	checkURL(found, "platform.objects.endpoint", s.Platform.Objects.Endpoint)
	checkURL(found, "platform.machines.url", s.Platform.Machines.URL)
	if len(s.Operator.KeySHA256) != len(v1.HashKey("")) {
		found.Add("operator.keySHA256", "must be 64 hex digits")
	}
	checkTLSFiles(found, "tls.serve", s.TLS.Serve)
}

func checkRequired(found *findings.List, path, value string) {
	if value == "" {
		found.Add(path, "must be set")
	}
}

func contains(list []string, value string) bool {
	for _, candidate := range list {
		if candidate == value {
			return true
		}
	}
	return false
}

// checkAddress reports an address that is not host:port with an IP address as the host.
func checkAddress(found *findings.List, path, address string) {
	host, _, err := net.SplitHostPort(address)
	switch {
	case err != nil:
		found.Add(path, "must be host:port")
	case net.ParseIP(host) == nil:
		found.Add(path, "host must be an IP address")
	}
}

func checkURL(found *findings.List, path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || !strings.HasPrefix(parsed.Scheme, "http") {
		found.Add(path, "must be an http or https URL")
	}
}

func checkTLSFiles(found *findings.List, path string, files TLSFiles) {
	if !files.Set() {
		return
	}
	if files.Certificate == "" || files.Key == "" {
		found.Add(path, "certificate and key must both be set")
	}
	for _, file := range []string{files.Certificate, files.Key} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			found.Add(path, "file not readable: %v", err)
		}
	}
}

// Load reads a settings file, applies overrides and defaults, and validates the result. An empty path
// stands for an empty file. A *findings.Error has all findings with their positions in the file.
func Load(path string, overrides func(*Settings)) (*Settings, error) {
	settings := &Settings{}
	var found []findings.Finding
	locate := func(list []findings.Finding) []findings.Finding { return list }
	if path != "" {
		source, err := os.ReadFile(path)
		if err != nil {
			return nil, &findings.Error{Findings: []findings.Finding{{File: path, Message: err.Error()}}}
		}
		documents, err := findings.ParseYAML(path, source)
		if err != nil {
			return nil, err
		}
		if len(documents) != 1 {
			return nil, &findings.Error{Findings: []findings.Finding{{File: path, Message: "must hold one document"}}}
		}
		found = documents[0].Decode(settings)
		locate = documents[0].Locate
	}
	if overrides != nil {
		overrides(settings)
	}
	settings.ApplyDefaults()
	var list findings.List
	list.Append(found...)
	list.Append(locate(settings.Validate())...)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}
