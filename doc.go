// Package tanagerroad is the root of a serving system for multi-stage model
// pipelines. It holds the interfaces with several implementations (Clock, Disk,
// Dialect, Picker, Proposer) and the data types that they exchange. Packages
// under core make decisions without doing any I/O; packages under io hold
// sockets, timers and disks; package platform implements Dialect.
//
// It is not a framework: nothing here starts a goroutine or opens a socket.
package tanagerroad
