// Command _rig2 plays the cases of the second review: it starts entry hosts as separate
// processes, with a stand-in for the platform's store, stand-ins for replicas, and clients,
// and checks what clients and replicas have seen. Names of the platform's protocol are in
// names.json and config.json.
package main
