policy: {grants: read: 22, shares: {}, priorities: {}}
