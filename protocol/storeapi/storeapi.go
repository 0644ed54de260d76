// Package storeapi defines the platform's object API, which is JSON over HTTP.
//
//	GET  /v1/objects/{name}                         the object; 404 if it does not exist
//	GET  /v1/objects/{name}?after=VERSION&wait=30s  a long poll: the object once its version is above VERSION; 304 when the wait ends
//	PUT  /v1/objects/{name}                         conditional update with a Put as the body; 409 with the object if its version differs
//	GET  /v1/vms                                    the platform's list of VMs, which may be out of date
//
// A name consists of path segments. A value is any JSON of at most MaxValueBytes
// bytes.
package storeapi

import (
	"encoding/json"
	"time"
)

// Paths of the object API.
const (
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// MaxValueBytes is the size limit of an object's value in bytes.
const MaxValueBytes = 1 << 20

// MaxWait is the upper limit of the wait parameter of a long poll.
const MaxWait = 30 * time.Second

// ConfigObject is the name of the object that holds the configuration.
const ConfigObject = "config"

// Object is a stored object. Its version starts at 1 and increases with each
// update.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Put is the body of a conditional update. The update succeeds only if the
// object has the given Version; zero means that the object must not exist yet.
type Put struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // peer interface, host:port
	Leaving    bool   `json:"leaving"`
}
