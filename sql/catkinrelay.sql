-- SQL functions that catkinrelay calls on each database (docs/design.md, section 2.3).
--
-- STATE: written for PostgreSQL 16 with physical streaming replication and NOT RUN against a PostgreSQL
-- server. The project runs its tests against the stand-in in stand-ins/database, which answers the same
-- calls. Every function marked "best mapping" differs from the stand-in in the way that its comment says.
--
-- Installation: run as a superuser on the primary; the objects replicate to the standbys. In the
-- postgresql.conf of each server set
--   catkinrelay.database = '<name of this database in announcements>'
--   catkinrelay.replication_user = '<user of primary_conninfo>'
--   include_if_exists = 'catkinrelay.conf'
-- and grant the role catkinrelay_system to the login of the entry and control instances.
--
-- Positions: a position is the term of the last promotion that the server has replayed, with the WAL
-- location in bytes as offset. The stand-in counts log entries instead; both only grow within a term.
--
-- Local state: a standby can't write tables, so the fence is kept in the file catkinrelay.fence of the
-- data directory. COPY does not sync the file; a fence can be lost when the operating system crashes.
--
-- Callers' statements run under the same login. The check of caller statements must therefore refuse
-- anything that names the schema catkinrelay or calls set_config.

begin;

create schema catkinrelay;
create role catkinrelay_system nologin;

-- One row for each promotion. Standbys learn the term of their primary by replaying it.
create table catkinrelay.promotions (
  term bigint primary key,
  promoted_at timestamptz not null default now()
);
insert into catkinrelay.promotions (term) values (1);

-- Answers under idempotency keys, written in the transaction of the request itself.
create table catkinrelay.answers (
  workspace text not null,
  idempotency_key text not null,
  request_digest text not null,
  answer text not null,
  recorded_at timestamptz not null default now(),
  primary key (workspace, idempotency_key)
);
create index answers_recorded_at on catkinrelay.answers (recorded_at);

-- Transactions of requests hold this advisory lock in shared mode until they end; a fence takes it exclusively.
create function catkinrelay.fence_lock() returns bigint
language sql immutable as $$ select 5263941827::bigint $$;

create function catkinrelay.current_term() returns bigint
language sql stable security definer set search_path = pg_catalog as $$
  select coalesce(max(term), 0) from catkinrelay.promotions
$$;

create function catkinrelay.current_fence() returns bigint
language sql volatile security definer set search_path = pg_catalog as $$
  select coalesce(nullif(trim(pg_read_file('catkinrelay.fence', true)), '')::bigint, 0)
$$;

-- Best mapping: COPY TO a server file is the only write that a standby allows. The path is absolute, as COPY requires.
create function catkinrelay.write_local_file(name text, content text) returns void
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  execute format('copy (select %L) to %L', content, current_setting('data_directory') || '/' || name);
end
$$;

-- Best mapping: a standby without a WAL receiver reports the time since its last replayed transaction,
-- which overstates the age when the primary was idle; one with a receiver adds the time since its last message.
create function catkinrelay.current_age_ms() returns bigint
language sql volatile security definer set search_path = pg_catalog as $$
  select case
    when not pg_is_in_recovery() then 0
    else coalesce((
      select ceil(1000 * greatest(
        extract(epoch from clock_timestamp() - receiver.last_msg_receipt_time),
        case when pg_last_wal_replay_lsn() < receiver.flushed_lsn
          then extract(epoch from clock_timestamp() - pg_last_xact_replay_timestamp())
          else 0
        end
      ))::bigint
      from pg_stat_wal_receiver receiver
      where receiver.status = 'streaming'
    ), ceil(1000 * extract(epoch from clock_timestamp() - pg_last_xact_replay_timestamp()))::bigint, 2147483647)
  end
$$;

create type catkinrelay.status_row as (
  database text, incarnation text, role text, term bigint, fenced_term bigint,
  position_term bigint, position_offset bigint, age_ms bigint
);

-- The incarnation is the start time of the server, which is what voids known positions.
-- A standby reports what it has replayed, as reads on it see no more.
create function catkinrelay.status()
returns setof catkinrelay.status_row
language sql volatile security definer set search_path = pg_catalog as $$
  select
    current_setting('catkinrelay.database'),
    extract(epoch from pg_postmaster_start_time())::text,
    case when pg_is_in_recovery() then 'replica' else 'primary' end,
    catkinrelay.current_term(),
    catkinrelay.current_fence(),
    catkinrelay.current_term(),
    pg_wal_lsn_diff(case when pg_is_in_recovery() then pg_last_wal_replay_lsn() else pg_current_wal_insert_lsn() end, '0/0')::bigint,
    catkinrelay.current_age_ms()
$$;

-- Best mapping: looks every 5 ms instead of being woken, as PostgreSQL has no event for replayed WAL.
create function catkinrelay.wait_status(after_term bigint, after_offset bigint, wait_ms int)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  deadline timestamptz := clock_timestamp() + wait_ms * interval '1 millisecond';
  first_row catkinrelay.status_row;
  latest catkinrelay.status_row;
begin
  select * into first_row from catkinrelay.status();
  loop
    select * into latest from catkinrelay.status();
    exit when (latest.position_term, latest.position_offset) > (after_term, after_offset)
      or (latest.role, latest.term, latest.fenced_term) is distinct from (first_row.role, first_row.term, first_row.fenced_term)
      or clock_timestamp() >= deadline;
    perform pg_sleep(0.005);
  end loop;
  return next latest;
end
$$;

-- The advisory lock on the key makes a second request with the same key wait for the first one.
create function catkinrelay.begin_request(workspace text, term bigint, idempotency_key text, request_digest text)
returns table (answer text)
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  recorded record;
begin
  if workspace is distinct from current_setting('catkinrelay.workspace', true) then
    raise exception 'the request belongs to another workspace than the connection' using errcode = '42501';
  end if;
  perform pg_advisory_xact_lock_shared(catkinrelay.fence_lock());
  if pg_is_in_recovery() or catkinrelay.current_term() <> term or catkinrelay.current_fence() > term then
    raise exception 'the database is not the primary of term %', term using errcode = 'CR001';
  end if;
  if idempotency_key is null then
    return query select null::text;
    return;
  end if;
  perform pg_advisory_xact_lock(hashtextextended(workspace || chr(1) || idempotency_key, 0));
  select a.request_digest, a.answer into recorded
    from catkinrelay.answers a
    where a.workspace = begin_request.workspace and a.idempotency_key = begin_request.idempotency_key;
  if found and recorded.request_digest is distinct from begin_request.request_digest then
    raise exception 'the idempotency key was used with another request' using errcode = 'CR002';
  end if;
  perform set_config('catkinrelay.request_key', idempotency_key, true);
  perform set_config('catkinrelay.request_digest', request_digest, true);
  return query select recorded.answer;
end
$$;

create function catkinrelay.finish_request(idempotency_key text, answer text) returns void
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if idempotency_key is distinct from current_setting('catkinrelay.request_key', true) then
    raise exception 'finish_request needs the idempotency key of begin_request in the same transaction' using errcode = '55000';
  end if;
  insert into catkinrelay.answers (workspace, idempotency_key, request_digest, answer)
    values (current_setting('catkinrelay.workspace'), idempotency_key, current_setting('catkinrelay.request_digest'), answer);
end
$$;

-- Best mapping of "takes no writes": transactions that called begin_request are ended before the fence is
-- answered, and later ones are refused. Other write transactions of the server are not stopped.
-- Best mapping of "takes no replication": the WAL receiver is stopped by an empty primary_conninfo.
create function catkinrelay.fence(term bigint)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if catkinrelay.current_fence() > fence.term then
    raise exception 'the database is fenced for term %', catkinrelay.current_fence() using errcode = 'CR003';
  end if;
  perform catkinrelay.write_local_file('catkinrelay.fence', fence.term::text);
  if pg_is_in_recovery() then
    perform catkinrelay.write_local_file('catkinrelay.conf', 'primary_conninfo = ''''');
    perform pg_reload_conf();
  elsif fence.term > catkinrelay.current_term() then
    perform pg_terminate_backend(lock.pid)
      from pg_locks lock
      where lock.locktype = 'advisory' and lock.objsubid = 1 and lock.mode = 'ShareLock'
        and (lock.classid::bigint << 32 | lock.objid::bigint) = catkinrelay.fence_lock()
        and lock.pid <> pg_backend_pid();
    -- Waits until they have really ended; one that was committing may still have committed.
    perform pg_advisory_lock(catkinrelay.fence_lock());
    perform pg_advisory_unlock(catkinrelay.fence_lock());
  end if;
  return query select * from catkinrelay.status();
end
$$;

-- Best mapping: the promotion is recorded in the table once the server takes writes, so a crash in between
-- leaves a primary that still names its old term and refuses requests with CR001 until it is promoted again.
create function catkinrelay.promote(term bigint)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if catkinrelay.current_fence() <> promote.term then
    raise exception 'the database is fenced for term %, not for term %', catkinrelay.current_fence(), promote.term using errcode = 'CR003';
  end if;
  if pg_is_in_recovery() then
    perform pg_promote(true, 60);
    -- The transaction of this call began during recovery and stays read-only; the caller repeats the call.
    raise exception 'the server was promoted; call promote again to record term %', promote.term using errcode = 'CR001';
  end if;
  insert into catkinrelay.promotions (term) values (promote.term) on conflict do nothing;
  return query select * from catkinrelay.status();
end
$$;

-- Best mapping: a standby is pointed to another primary of the same or a later timeline. PostgreSQL can't
-- discard WAL that the new primary lacks while it runs: a former primary or a standby that is ahead needs
-- pg_rewind by the operator, and the call fails with 0A000.
create function catkinrelay.follow(term bigint, primary_address text)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  parts text[] := regexp_match(primary_address, '^([0-9a-zA-Z.:-]+):([0-9]+)$');
begin
  if follow.term < catkinrelay.current_fence() or follow.term < catkinrelay.current_term() then
    raise exception 'the database does not follow term %', follow.term using errcode = 'CR003';
  end if;
  if parts is null then
    raise exception 'invalid address: "%"', primary_address using errcode = '22P02';
  end if;
  if not pg_is_in_recovery() then
    raise exception 'a former primary must be rewound with pg_rewind before it can follow' using errcode = '0A000';
  end if;
  perform catkinrelay.write_local_file('catkinrelay.conf', format(
    'primary_conninfo = ''host=%s port=%s user=%s''', parts[1], parts[2], current_setting('catkinrelay.replication_user')));
  perform pg_reload_conf();
  return query select * from catkinrelay.status();
end
$$;

revoke all on all functions in schema catkinrelay from public;
grant usage on schema catkinrelay to catkinrelay_system;
grant execute on function
  catkinrelay.status(), catkinrelay.wait_status(bigint, bigint, int),
  catkinrelay.begin_request(text, bigint, text, text), catkinrelay.finish_request(text, text),
  catkinrelay.fence(bigint), catkinrelay.promote(bigint), catkinrelay.follow(bigint, text)
to catkinrelay_system;

commit;
