// Package standin holds simple fakes of the configuration platform, upstream
// services and clients, for development and tests.
package standin
