// Package adopter puts configurations in force at a node, each as a whole and only if its revision is higher.
package adopter
