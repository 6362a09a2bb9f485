package core

// HeaderTried lists, on relayed requests, the hosts that must not be tried again, separated by commas.
const HeaderTried = "Ebony-Tried"
