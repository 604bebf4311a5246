package config

import "time"

// maxDescriptors is the largest limit of descriptors on Linux.
const maxDescriptors = 1 << 30

func intakeSection() Section {
	return Section{Name: "intake", Fields: []Field{
		{Key: "descriptors", Default: "0", Unit: "descriptors", Doc: "File descriptors that the process may open; 0 takes the limit of the operating system.", set: setInt(0, maxDescriptors, func(b *builder) *int { return &b.c.intake.Descriptors })},
		{Key: "stall", Default: "10s", Unit: "time", Doc: "Time without progress after which a request that is being received is ended.", set: setTime(time.Second, time.Hour, func(b *builder) *time.Duration { return &b.c.intake.Stall })},
		{Key: "whole", Default: "2m", Unit: "time", Doc: "Time within which the whole of a request has to be received.", set: setTime(time.Second, time.Hour, func(b *builder) *time.Duration { return &b.c.intake.Whole })},
	}}
}
