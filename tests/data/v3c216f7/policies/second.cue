policy: {grants: read: 21, schedules: cleanup: false, budgets: threads: 10}
