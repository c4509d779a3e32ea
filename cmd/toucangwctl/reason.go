package main

import "toucangw.example/core/verdict"

// reasonMeaning states briefly what a reason means and what to check.
// docs/operate-refusals.md has the full explanations.
var reasonMeaning = map[verdict.Reason]string{
	verdict.QueueFull:        "the queue of the host is full or holds more important requests; check limit and queue of the host",
	verdict.DeadlineUnmet:    "the request could not have finished before its deadline; check limit and queue of the host",
	verdict.DeadlinePassed:   "sent, but no complete response before the deadline; check the upstream of the host",
	verdict.Pressure:         "hosts of the service recently admitted only more important requests; check its upstreams",
	verdict.NoUpstream:       "the service has no eligible host; check MEMBER and the host lists",
	verdict.Leaving:          "the host is stopping; the caller must send to another node",
	verdict.Starting:         "no active configuration for the request; check version in force and platform",
	verdict.ConnectionLost:   "the connection broke after the request was sent; check the host and the network",
	verdict.IncompleteAnswer: "the upstream's response was truncated, too large or without length; check the upstream's log",
	verdict.UpstreamShed:     "the upstream itself shed the request; check the upstream",
	verdict.UpstreamFailed:   "host or upstream could not be reached; check whether it runs",
	verdict.UpstreamCrashed:  "the upstream's process ended while the request was running; check the upstream's log",
	verdict.Quarantined:      "equal requests crashed several upstreams; see toucangwctl quarantine, and correct the request or the upstream",
	verdict.RetryBound:       "the upstream retried a sub-call with no retry credit left; check the first failure",
	verdict.Cancelled:        "the client disconnected, or the request that made the call ended",
	verdict.Paused:           "the request waited while the node's process was paused; check the host",
	verdict.KeyRequired:      "not a failure: the caller repeats the request with the key that it received",
	verdict.KeyFenced:        "the key was fenced by an earlier refusal or cancellation and never runs",
	verdict.KeyUnknown:       "the key has expired, is not authentic or was issued by an earlier process of its host",
	verdict.KeyMismatch:      "the key belongs to another request, service or caller",
	verdict.KeyTableFull:     "the host has no memory for another key; check keys of the host",
	verdict.OwnerUnreachable: "the host that owns the key cannot be reached; query the key later",
	verdict.UnknownCaller:    "Toucangw-Caller names no [[caller]] of the base",
	verdict.UnknownKind:      "no [[kind]] of the base matches service, method and path",
	verdict.BadRequest:       "the request is malformed or too large; see DETAIL",
	verdict.NotMember:        "the host lists do not contain the sending node with its address",
	verdict.WrongService:     "the host serves another service than its entry in the host list states",
	verdict.DepthExceeded:    "the call chain is deeper than limits.max_depth",
}
