package rig

import "github.com/dandelionring/dandelionring/pkg/core"

// Headers are the names of the platform's headers.
type Headers struct {
	Request, Deadline, Model, Target, Prefix, Usage, Signature, NotExecuted, LastEvent, Resumes, RetryAfter string
}

// Paths are the paths of the platform's calls. The ID of an upstream is appended to Instances.
type Paths struct {
	Config, Instances, Order, Report, Ready string
}

// UpstreamMessages encodes and decodes the messages of an upstream.
type UpstreamMessages interface {
	Headers() Headers
	Paths() Paths
	Announcement(Announcement) ([]byte, error)
	// NextAddress returns the address that the response to an announcement names, or nothing.
	NextAddress(response []byte) string
	Report(State) ([]byte, error)
	Order(body []byte) (EngineOrder, error)
}

// DeploymentMessages encodes the messages of the player, which starts the VMs and acts as
// callers and operator.
type DeploymentMessages interface {
	Headers() Headers
	Paths() Paths
	// Settings returns the name of the environment variable that names the settings file of a
	// VM, and the content of the file.
	Settings(VM, *Play) (variable string, content []byte, err error)
	Configuration(Configuration, *Play) ([]byte, error)
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	Upstream core.UpstreamID
	Service  core.ServiceID
	Address  string
	Zone     core.ZoneID
	Software core.SoftwareVersion
	Slots    int
	Leaving  bool
	Sequence uint64
	// Born is the time of the start in Unix milliseconds.
	Born  int64
	State State
}

// State is what an engine holds and does.
type State struct {
	// Model is empty for an upstream that is no engine.
	Model    core.ModelID
	Adapters []Adapter
	Pending  []Adapter
	// Accepted is the number of orders that the engine has accepted.
	Accepted        uint64
	Queued, Running int
}

// Adapter is an adapter that an engine holds or loads.
type Adapter struct {
	Adapter  core.AdapterID
	Revision core.Revision
}

// EngineOrder is an order to an engine.
type EngineOrder struct {
	Load     bool
	Model    core.ModelID
	Adapter  core.AdapterID
	Revision core.Revision
	Expected *uint64
	Holder   core.VMID
	Token    core.FencingToken
}

// Configuration is a configuration of the operator. Changes is the number of changes before
// it: each changes the time limits of the routes and which plain service serves the safe ones.
type Configuration struct {
	Number  core.ConfigNumber
	Changes int
}
