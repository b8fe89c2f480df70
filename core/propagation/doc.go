// Package propagation brings accepted revisions to every instance.
//
// Three readers per data centre poll the head row and push changed documents down
// a tree over the members of their data centre; gossip of the head revision and
// pulls repair what the tree misses. Node is a state machine that takes the time,
// randomness and messages as arguments and returns the calls to make.
package propagation
