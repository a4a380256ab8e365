"""Earlier name of benchmarks.leadership, kept so that `python -m benchmarks.owner` still works."""

from benchmarks.leadership import main

if __name__ == "__main__":
    main()
