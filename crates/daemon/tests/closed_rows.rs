//! The rows by which operators close halls, as the store tells them: whole readings, changes, and rows that others wrote.

use std::net;
use std::time;

use hyper::StatusCode;
use wharflane::{id, job, rows};
use wharflane_adapter::{config, halls, store};
use wharflane_daemon::jobs::halls as closed;
use wharflane_http::{reply, server};
use wharflane_stand_in::cases;

/// Returns a row of the operator's table.
fn row(name: &str, part: &str, gone: bool) -> rows::Row {
    let value = (!gone).then(|| "{}".to_owned());
    rows::Row { name: name.to_owned(), part: part.to_owned(), version: 7, value, gone }
}

/// Returns a page of rows.
fn page(version: u64, rows: Vec<rows::Row>) -> rows::Page {
    rows::Page { rows, version, ..rows::Page::default() }
}

/// Returns halls by name.
fn named(version: u64, names: &[&str]) -> job::ClosedHalls {
    job::ClosedHalls { version, halls: names.iter().map(|name| id::HallId::from(*name)).collect() }
}

/// Answers every call with a text.
async fn answering(text: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(server::serve(
        listener,
        server::Bounds::default(),
        server::never(),
        move |_| async move { reply::text(StatusCode::OK, text.to_owned()) },
    ));
    addr
}

cases! {
    a_reading_names_all_closed_halls => {
        let rows = vec![
            row(config::CONFIG_KEY, "", false),
            row("evacuate/north", "", false),
            row("evacuate/south", "", false),
        ];
        assert_eq!(closed::read(&page(9, rows)), named(9, &["north", "south"]));
    },
    changes_close_and_open => {
        let before = named(3, &["north"]);
        let rows = vec![row("evacuate/north", "", true), row("evacuate/south", "", false)];
        assert_eq!(closed::follow(&before, &page(4, rows)), named(4, &["south"]));
    },
    the_same_row_in_turn_counts_as_it_stands_last => {
        let turns = [false, true, false].map(|gone| row("evacuate/north", "", gone));
        assert_eq!(closed::follow(&named(1, &[]), &page(2, turns.to_vec())), named(2, &["north"]));
        let turns = [false, true].map(|gone| row("evacuate/north", "", gone));
        assert_eq!(closed::follow(&named(1, &[]), &page(2, turns.to_vec())), named(2, &[]));
    },
    a_hall_whose_row_was_removed_unheard_is_open_by_a_reading => {
        assert_eq!(closed::read(&page(12, vec![row(config::CONFIG_KEY, "", false)])), named(12, &[]));
    },
    rows_of_another_place_or_without_a_name_close_nothing => {
        let rows = vec![
            row("evacuate/north", "elsewhere", false),
            row("evacuate/", "", false),
            row("evacuate", "", false),
            row("evacuated/north", "", false),
            row("wave/1", "", false),
        ];
        assert_eq!(closed::read(&page(2, rows)), named(2, &[]));
    },
    a_row_whose_value_is_no_text_closes_its_hall => {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let read = runtime.block_on(async {
            let text = r#"{"rows":[{"part":"","tls_key":"evacuate/north","value":"/w==","ver":4},
                {"part":"","tls_key":"evacuate/south","value":"","ver":5,"gone":true},
                {"part":"","tls_key":"evacuate/west","ver":6}],"ver":6}"#;
            let store = store::Store::new(answering(text).await, time::Duration::from_secs(5));
            let keys = (halls::FIRST_KEY, halls::END_KEY);
            store.read_range(config::OPERATOR_TABLE, config::EXTERNAL_PART, keys).await.expect("rows")
        });
        assert_eq!(closed::read(&read), named(6, &["north", "west"]));
    },
    a_key_is_read_back_as_its_hall => {
        let key = halls::key(&"north".into());
        assert_eq!(halls::closed_hall(&row(&key.name, &key.part, false)), Some("north".into()));
        assert!(key.name.as_str() >= halls::FIRST_KEY && key.name.as_str() < halls::END_KEY);
    },
}
