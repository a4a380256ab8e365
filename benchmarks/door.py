"""Earlier name of benchmarks.admission_queue: `python -m benchmarks.door` goes on working."""

from benchmarks.admission_queue import main

if __name__ == "__main__":
    main()
