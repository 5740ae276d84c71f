// Package adopter puts configuration revisions in force at a node, each whole and only upward.
package adopter
