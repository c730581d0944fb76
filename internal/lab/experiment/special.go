package experiment

// special are the scenarios with a course of their own.
var special []*Scenario
