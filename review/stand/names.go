package main

import (
	_ "embed"
	"strings"
)

// namesText has the names of the users' platform, which Go files outside package platform
// do not contain: a line for each, with the word that is used here before it.
//
//go:embed names.txt
var namesText string

// Headers of requests and answers.
var (
	headerAttempt  = platformName("header-attempt")
	headerDeadline = platformName("header-deadline")
	headerKey      = platformName("header-api-key")
	headerSeal     = platformName("header-seal")
	headerPrompt   = platformName("header-prompt")
	headerExpected = platformName("header-expected")
	headerLoad     = platformName("header-load")
	headerNotRun   = platformName("header-not-run")
	headerModel    = platformName("header-model")
	headerTokens   = platformName("header-tokens")
	headerWeights  = platformName("header-weights")
	headerPieceKey = platformName("header-piece-key")
	headerPieces   = platformName("header-pieces")
	headerInputs   = platformName("header-inputs")
)

// Keys of configurations and heartbeats.
var (
	keyPrefix       = platformName("key-path-prefix")
	keyTimeout      = platformName("key-timeout")
	keyGapObjective = platformName("key-gap-objective")
	keyObjective    = platformName("key-objective")
	keyAttempts     = platformName("key-attempts")
	keyHealth       = platformName("key-health")
	keyConns        = platformName("key-conns")
	keyCapacity     = platformName("key-capacity")
	keyRoom         = platformName("key-room")
	keyColdLeft     = platformName("key-cold-left")
	keyKeys         = platformName("key-keys")
)

// Paths of calls.
var (
	pathHeartbeat  = platformName("path-heartbeat")
	pathDeregister = platformName("path-deregister")
	pathConfig     = platformName("path-config")
	pathReady      = platformName("path-ready")
	pathFree       = platformName("path-free")
)

// platformName returns the platform's name of a thing.
func platformName(word string) string {
	for line := range strings.Lines(namesText) {
		if own, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && own == word {
			return name
		}
	}
	panic("names.txt has no line for " + word)
}
