"""Earlier name of benchmarks.policy_rollout: `python -m benchmarks.change` goes on working."""

from benchmarks.policy_rollout import main

if __name__ == "__main__":
    main()
