package main

import "toucangw.example/core/verdict"

// reasonMeaning says in a few words what a reason means and where to look;
// docs/operate-refusals.md has the whole text.
var reasonMeaning = map[verdict.Reason]string{
	verdict.QueueFull:        "the queue of the host is full or holds more important work; look at limit and queue there",
	verdict.DeadlineUnmet:    "it could not have ended before its deadline; look at limit and queue of the host",
	verdict.DeadlinePassed:   "sent, but no whole answer before the deadline; look at the upstream of the host",
	verdict.Pressure:         "hosts of the service lately admitted only more important work; look at its upstreams",
	verdict.NoUpstream:       "no usable host of the service; look at MEMBER and the host lists",
	verdict.Leaving:          "the host is stopping; the caller sends to another node",
	verdict.Starting:         "no configuration in force for it; look at version in force and platform",
	verdict.ConnectionLost:   "the connection broke after sending; look at the host and the network",
	verdict.IncompleteAnswer: "the upstream's answer was cut, too large or without length; look at the upstream's log",
	verdict.UpstreamShed:     "the upstream itself refused for load; look at the upstream",
	verdict.UpstreamFailed:   "host or upstream could not be reached; look at whether it runs",
	verdict.RetryBound:       "the upstream repeated a sub-call without retry credit left; look at the first failure",
	verdict.Cancelled:        "the caller went away, or the request that made the call ended",
	verdict.Paused:           "it waited while the node's process stood still; look at the host",
	verdict.KeyRequired:      "no failure: the caller repeats the request with the key that it got",
	verdict.KeyFenced:        "the key was refused or cancelled before and never runs",
	verdict.KeyUnknown:       "the key is past its lifetime, not authentic or of an earlier process of its host",
	verdict.KeyMismatch:      "the key belongs to another request, service or customer",
	verdict.KeyTableFull:     "the host has no memory for another key; look at keys there",
	verdict.OwnerUnreachable: "the host that owns the key cannot be reached; query the key later",
	verdict.UnknownCaller:    "Toucangw-Caller names no [[caller]] of the base",
	verdict.UnknownKind:      "no [[kind]] of the base matches service, method and path",
	verdict.BadRequest:       "the request is malformed or too large; see DETAIL",
	verdict.NotMember:        "the sending node is not on the host lists with its address",
	verdict.WrongService:     "the host serves another service than its list entry says",
	verdict.DepthExceeded:    "the call chain is deeper than limits.max_depth",
}
