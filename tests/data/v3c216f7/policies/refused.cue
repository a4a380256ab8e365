policy: sends: once: 2
