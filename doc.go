// Package tanagerroad is the root of a serving system for multi-stage model
// pipelines. It holds the interfaces that vary (Clock, Disk, Picker, Proposer)
// and the plain data that crosses them; implementations live below, decisions
// under core and sockets, timers and disks under io.
//
// It is not a framework: nothing here starts a goroutine or opens a socket.
package tanagerroad
