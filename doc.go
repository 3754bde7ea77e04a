// Package tanagerroad is the root of a serving system for multi-stage model
// pipelines. It holds the interfaces with several implementations (Clock, Disk,
// Dialect, Picker, Proposer) and the data types that they exchange. Packages
// under core make decisions without doing any I/O; packages under io hold
// sockets, timers and disks; package platform implements Dialect.
//
// Two kinds of processes take callers' requests. An entry follows the route and
// pool tables (core/table) and sends each attempt to the sidecar of a backend
// server. It uses core/request, core/router, core/pick and core/directory; the
// sidecar uses core/stage. A gateway follows the catalog (core/catalog) and calls
// backend servers without sidecars. It uses core/attempt, core/pipeline,
// core/batch, core/owner, core/shed, core/fleet and core/roster. Control instances
// replicate the tables and the catalog with core/replica and core/registry.
//
// The stages of an entry's route are the whole work of a request. Those of a
// gateway's route only prepare the request, which runs after them; they are divided
// into pieces.
//
// It is not a framework: nothing here starts a goroutine or opens a socket.
package tanagerroad
