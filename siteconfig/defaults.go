package siteconfig

import "time"

// Defaults of the optional fields.
const (
	DefaultShards          = 128
	DefaultDeadline        = 5 * time.Second
	DefaultMaxDisconnected = 10 * time.Minute
	DefaultMaxBodyBytes    = 1 << 20
	DefaultGroupsPerZone   = 2
)

// Bounds of the fields, and the texts of enumerated values.
const (
	MaxShards           = 1 << 17 // of one service
	maxPerServer        = 100_000 // requests or connections
	minDeadline         = 10 * time.Millisecond
	maxDeadline         = time.Hour
	maxMaxDisconnected  = 365 * 24 * time.Hour
	maxMaxBodyBytes     = 1 << 30
	maxGroupsPerZone    = 64
	maxNameLength       = 63
	foreverText         = "forever"
	weightUnavailText   = "unavailability"
	weightImbalanceText = "imbalance"
)

// defaultIdempotentMethods are the methods that change no state at the server.
// PUT and DELETE are idempotent by the HTTP standard, but not at a server that
// assigns numbers or sends notifications on them, so operators declare them for
// services where they are idempotent.
var defaultIdempotentMethods = []string{"GET", "HEAD"}

// knownMethods are the methods that operators may declare as idempotent.
var knownMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
