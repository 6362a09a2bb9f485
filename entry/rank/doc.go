// Package rank decides which requests of a service are served first when it has too little room: those of urgent routes and customers
// before others, and within a rank those of customers that send no more than their fair share. It uses neither a network nor a clock
// of its own.
package rank
