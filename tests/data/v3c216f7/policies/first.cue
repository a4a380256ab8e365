policy: {grants: read: 20, clients: "desk": 4}
