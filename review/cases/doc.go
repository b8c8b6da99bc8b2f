// Command cases runs the scripted cases of the review: it starts entries as separate
// processes, with stand-ins of the platform's store, the servers and the clients, and
// checks one rule by what the clients and the servers saw.
package main
