package core

// HeaderTried is set on relayed requests and lists the hosts that must not be tried again, separated by commas.
const HeaderTried = "Ebony-Tried"
