// Package propagation distributes accepted revisions to every instance.
//
// The delegates of a data centre are its readers: they poll the head row and push
// changed documents down a tree of the members of their data centre. The other
// members are followers. Members gossip the head revision and pull the updates that
// a push did not deliver. Node is a state machine: it takes the time, randomness and
// messages as arguments and returns the calls to make.
package propagation
