/* Fails, shortens and delays system calls of the process that it is loaded into, by a seeded plan.
 *
 * The plan is a file mapped into memory (FAULT_PLAN, written by plan.py), so that a test can change it while the
 * process runs: an array of rows, one for each call in the order of CALLS there, each
 *     int32 rate    calls in 1000 that are hit, 0: none
 *     int32 error   errno to fail with; 0: shorten (send, recv) or only delay
 *     int32 most    largest number of bytes that a shortened call transfers
 *     int32 delay   microseconds to wait between the reading of a call's arguments and the system call
 *     int32 count   calls hit so far, written by this file
 * and after the rows one int64: the offset of the wall clock in nanoseconds.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/select.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, CONNECT, SOCKET, SEND, RECV, SETSOCKOPT, POLL, THREAD, WRITE, SYNC, CALLS };

struct row { int32_t rate, error, most, delay, count; };
struct plan { struct row rows[CALLS]; int64_t wall_ns; };

static struct plan *plan;
static uint32_t seed = 1;

__attribute__((constructor)) static void load(void)
{
    const char *path = getenv("FAULT_PLAN"), *number = getenv("FAULT_SEED");
    int file = path ? open(path, O_RDWR) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct plan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED)
        return;
    seed = number ? (uint32_t)atoi(number) * 2654435761u | 1 : 1;
    plan = mapped;
}

/* The row of a call if this one is hit, after its delay; else NULL. */
static struct row *hit(int call)
{
    if (!plan || plan->rows[call].rate <= 0)
        return NULL;
    uint32_t drawn = __atomic_add_fetch(&seed, 0x9E3779B9u, __ATOMIC_RELAXED);
    drawn = (drawn ^ drawn >> 16) * 0x85EBCA6Bu;
    drawn = (drawn ^ drawn >> 13) * 0xC2B2AE35u;
    struct row *row = &plan->rows[call];
    if ((int)((drawn ^ drawn >> 16) % 1000) >= row->rate)
        return NULL;
    __atomic_add_fetch(&row->count, 1, __ATOMIC_RELAXED);
    if (row->delay > 0) {
        struct timespec span = { row->delay / 1000000, row->delay % 1000000 * 1000L };
        nanosleep(&span, NULL);
    }
    return row;
}

#define REAL(type, name) static type (*real)(); if (!real) real = (type (*)())dlsym(RTLD_NEXT, name)
#define FAIL(row, value) do { if ((row) && (row)->error) { errno = (row)->error; return (value); } } while (0)

static size_t shorter(struct row *row, size_t size)
{
    return row && row->most > 0 && size > (size_t)row->most ? (size_t)row->most : size;
}

int accept4(int sock, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(int, "accept4");
    struct row *row = hit(ACCEPT);
    FAIL(row, -1);
    return real(sock, address, size, flags);
}

int connect(int sock, const struct sockaddr *address, socklen_t size)
{
    REAL(int, "connect");
    struct row *row = hit(CONNECT);
    FAIL(row, -1);
    return real(sock, address, size);
}

int socket(int domain, int type, int protocol)
{
    REAL(int, "socket");
    struct row *row = hit(SOCKET);
    FAIL(row, -1);
    return real(domain, type, protocol);
}

ssize_t send(int sock, const void *data, size_t size, int flags)
{
    REAL(ssize_t, "send");
    struct row *row = hit(SEND);
    FAIL(row, -1);
    return real(sock, data, shorter(row, size), flags);
}

ssize_t recv(int sock, void *data, size_t size, int flags)
{
    REAL(ssize_t, "recv");
    struct row *row = hit(RECV);
    FAIL(row, -1);
    return real(sock, data, shorter(row, size), flags);
}

int setsockopt(int sock, int level, int name, const void *value, socklen_t size)
{
    REAL(int, "setsockopt");
    struct row *row = hit(SETSOCKOPT);
    FAIL(row, -1);
    return real(sock, level, name, value, size);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    REAL(int, "poll");
    struct row *row = hit(POLL);
    FAIL(row, -1);
    return real(descriptors, count, timeout);
}

int select(int count, fd_set *readable, fd_set *writable, fd_set *exceptional, struct timeval *timeout)
{
    REAL(int, "select");
    struct row *row = hit(POLL);
    FAIL(row, -1);
    return real(count, readable, writable, exceptional, timeout);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *value)
{
    REAL(int, "pthread_create");
    struct row *row = hit(THREAD);
    if (row && row->error)
        return row->error;
    return real(thread, attributes, run, value);
}

/* Whether a descriptor is a regular file: writes to pipes and sockets must not fail as those to a disk do. */
static int is_file(int descriptor)
{
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

ssize_t write(int descriptor, const void *data, size_t size)
{
    REAL(ssize_t, "write");
    struct row *row = plan && plan->rows[WRITE].rate > 0 && is_file(descriptor) ? hit(WRITE) : NULL;
    FAIL(row, -1);
    return real(descriptor, data, shorter(row, size));
}

ssize_t pwrite64(int descriptor, const void *data, size_t size, off64_t at)
{
    REAL(ssize_t, "pwrite64");
    struct row *row = plan && plan->rows[WRITE].rate > 0 && is_file(descriptor) ? hit(WRITE) : NULL;
    FAIL(row, -1);
    return real(descriptor, data, shorter(row, size), at);
}

int fsync(int descriptor)
{
    REAL(int, "fsync");
    struct row *row = hit(SYNC);
    FAIL(row, -1);
    return real(descriptor);
}

int fdatasync(int descriptor)
{
    REAL(int, "fdatasync");
    struct row *row = hit(SYNC);
    FAIL(row, -1);
    return real(descriptor);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    REAL(int, "clock_gettime");
    int status = real(clock, now);
    if (status == 0 && plan && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec + plan->wall_ns;
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return status;
}
