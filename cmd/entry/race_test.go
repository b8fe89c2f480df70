//go:build race

package main_test

// isRaceBuild is true if the program is built to find races.
const isRaceBuild = true
