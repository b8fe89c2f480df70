// Package reach decides whether an instance has lost its path to the targets of a service, and through
// which other instance it sends requests then.
package reach
