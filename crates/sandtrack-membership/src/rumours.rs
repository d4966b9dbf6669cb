//! What is to be told on, and how often it was: news of members by name, the least told first. It owns the queue, and must
//! never keep what a rumour says: that is read from the table when it goes out.
use smol_str::SmolStr;
use std::collections::{BTreeSet, HashMap};

#[derive(Debug, Default)]
pub struct Rumours {
    order: BTreeSet<(u32, u64, SmolStr)>,
    names: HashMap<SmolStr, (u32, u64)>,
    next: u64,
}

impl Rumours {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// There is news of the member: it is told on from the beginning.
    pub fn push(&mut self, name: &SmolStr) {
        self.drop(name);
        self.next += 1;
        self.order.insert((0, self.next, name.clone()));
        self.names.insert(name.clone(), (0, self.next));
    }

    pub fn drop(&mut self, name: &SmolStr) {
        if let Some((told, at)) = self.names.remove(name) {
            self.order.remove(&(told, at, name.clone()));
        }
    }

    pub fn clear(&mut self) {
        (self.order, self.names) = Default::default();
    }

    /// Offers names, the least told first, while they are taken; `most`: what was told so often is over.
    pub fn take(&mut self, most: u32, mut taken: impl FnMut(&SmolStr, u32) -> bool) {
        let mut told = Vec::new();
        for (times, at, name) in &self.order {
            if !taken(name, *times) {
                break;
            }
            told.push((*times, *at, name.clone()));
        }
        for (times, at, name) in told {
            self.order.remove(&(times, at, name.clone()));
            if times + 1 >= most {
                self.names.remove(&name);
            } else {
                self.order.insert((times + 1, at, name.clone()));
                self.names.insert(name, (times + 1, at));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_least_told_goes_first_and_what_was_told_often_enough_is_over() {
        let mut rumours = Rumours::default();
        let names: Vec<SmolStr> = ["a", "b", "c"].map(SmolStr::from).to_vec();
        names.iter().for_each(|name| rumours.push(name));
        let round = |rumours: &mut Rumours, room: usize| {
            let mut told = Vec::new();
            rumours.take(2, |name, _| {
                let fits = told.len() < room;
                if fits {
                    told.push(name.to_string());
                }
                fits
            });
            told
        };
        assert_eq!(round(&mut rumours, 2), ["a", "b"]);
        assert_eq!(round(&mut rumours, 2), ["c", "a"]);
        rumours.push(&names[1]);
        assert_eq!(
            round(&mut rumours, 9),
            ["b", "c"],
            "news begins anew, and a has been told twice"
        );
        assert_eq!(round(&mut rumours, 9), ["b"]);
        assert!(rumours.is_empty());
    }
}
